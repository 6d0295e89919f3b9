/* Models the ownership of one worker, which is fenced by the epoch (the version
 * of the view).
 *
 * A host becomes the owner by a conditional write of the view row; the answer
 * may be lost after the write took effect. A host is paused while the search
 * does not schedule it, and may act on an old view at any later time. A host
 * may be suspected although it is alive. The worker does not limit the number
 * of running requests to its slots; the ledger of the owner has to do that.
 */
#ifndef HOSTS
#define HOSTS 2
#endif
#define SLOTS 2
#define MAXIMUM_VERSION 4
#define NO_HOST 9

/* View row in the store. */
byte StoreVersion = 1;
byte StoreOwner = 0;
/* Version written under the host's newest write ID, or 0 if that write has not
 * taken effect. */
byte AppliedVersion[HOSTS];

/* Store outages, crashes, and the number of faults that may still occur. */
bool StoreUp = true;
byte OutagesLeft = 1;
byte LostAnswersLeft = 2;
#ifndef WRONG_SUSPICIONS
#define WRONG_SUSPICIONS 2
#endif
byte WrongSuspicionsLeft = WRONG_SUSPICIONS;
bool Alive[HOSTS] = true;
byte CrashesLeft = 1;

/* View that the host has adopted; version 0 once the host knows that it is
 * fenced. */
byte AdoptedVersion[HOSTS] = 1;
byte AdoptedOwner[HOSTS] = 0;
/* Ledger: the owner's record of the used slots. It is ready once the worker has
 * accepted a status call with the adopted epoch. */
bool LedgerReady[HOSTS];
byte OwnGrants[HOSTS];      /* slots that this owner granted */
byte InheritedSlots[HOSTS]; /* slots that requests of earlier owners use */

/* State of the worker. */
byte WorkerEpoch;
byte NewestAcceptedEpoch; /* ghost variable */
/* Host whose status call the worker accepted last. */
byte LastAcceptedHost = NO_HOST;
chan RunningRequests = [SLOTS + 1] of { byte, byte }; /* host, epoch */
chan DispatchChannel[HOSTS] = [1] of { byte };       /* epoch */
chan AnswerChannel[HOSTS] = [SLOTS + 1] of { byte }; /* epoch */

/* The worker accepts a call; accepted epochs never decrease. */
inline recordAcceptedEpoch(Epoch) {
  assert(Epoch >= NewestAcceptedEpoch);
  if
  :: Epoch > NewestAcceptedEpoch -> NewestAcceptedEpoch = Epoch
  :: else
  fi;
  if
  :: Epoch > WorkerEpoch -> WorkerEpoch = Epoch
  :: else
  fi
}

#ifdef MUTANT_NO_FENCING
#define WORKER_ACCEPTS(Epoch) true
#else
#define WORKER_ACCEPTS(Epoch) ((Epoch) >= WorkerEpoch)
#endif

proctype Worker() {
  byte H, Epoch;
end:
  do
  :: atomic {
       if
       :: DispatchChannel[0]?Epoch -> H = 0
       :: DispatchChannel[1]?Epoch -> H = 1
#if HOSTS > 2
       :: DispatchChannel[2]?Epoch -> H = 2
#endif
       fi;
       if
       :: WORKER_ACCEPTS(Epoch) ->
          recordAcceptedEpoch(Epoch);
          assert(len(RunningRequests) < SLOTS);
          RunningRequests!H, Epoch
       :: else ->
          /* The worker refuses the request before it starts. The answer is lost
           * if the channel is full. */
          if
          :: nfull(AnswerChannel[H]) -> AnswerChannel[H]!Epoch
          :: full(AnswerChannel[H])
          fi
       fi;
       H = 0; Epoch = 0
     }
  :: atomic {
       RunningRequests?H, Epoch ->
       if
       :: nempty(RunningRequests) ->
          RunningRequests!H, Epoch; RunningRequests?H, Epoch
       :: true
       fi;
       if
       :: nfull(AnswerChannel[H]) -> AnswerChannel[H]!Epoch
       :: full(AnswerChannel[H])
       fi;
       H = 0; Epoch = 0
     }
  od
}

proctype Host(byte Me) {
  byte UsedSlots;
  bool WriteApplied;
end:
  do
  :: !Alive[Me] -> break
  :: Alive[Me] && StoreUp && AdoptedVersion[Me] != StoreVersion ->
     /* The host polls the view row and finds a new version. */
     d_step {
       AdoptedVersion[Me] = StoreVersion;
       AdoptedOwner[Me] = StoreOwner;
       LedgerReady[Me] = false; OwnGrants[Me] = 0; InheritedSlots[Me] = 0
     }
  :: d_step {
       /* The host takes over from an owner that has crashed or is wrongly
        * suspected. */
       Alive[Me] && AdoptedOwner[Me] != Me && AdoptedVersion[Me] > 0 &&
       AdoptedVersion[Me] < MAXIMUM_VERSION &&
#ifdef MUTANT_NO_TAKEOVER
       false &&
#endif
       (!Alive[AdoptedOwner[Me]] || WrongSuspicionsLeft > 0) ->
       if
       :: Alive[AdoptedOwner[Me]] -> WrongSuspicionsLeft--
       :: else
       fi;
       AppliedVersion[Me] = 0;
       WriteApplied = false
     };
writeView:
     if
     :: !Alive[Me]
     :: Alive[Me] && StoreUp ->
        d_step {
          if
#ifndef MUTANT_NO_WRITE_ID
          :: AppliedVersion[Me] != 0 -> WriteApplied = true
          :: AppliedVersion[Me] == 0 &&
#else
          ::
#endif
#ifdef MUTANT_UNCONDITIONAL_WRITE
             true ->
             StoreVersion = AdoptedVersion[Me] + 1;
#else
             StoreVersion == AdoptedVersion[Me] ->
             StoreVersion = AdoptedVersion[Me] + 1;
#endif
             StoreOwner = Me;
             /* A retried write takes effect only once. */
             assert(AppliedVersion[Me] == 0);
             AppliedVersion[Me] = StoreVersion;
             WriteApplied = true
          :: else -> WriteApplied = false
          fi
        };
        if
        :: d_step { LostAnswersLeft > 0 -> LostAnswersLeft-- };
#ifdef MUTANT_NO_WRITE_ID
           /* Fault: the retry is based on the version that it finds, which may
            * be the result of its own first write. */
           AdoptedVersion[Me] = StoreVersion;
#endif
           goto writeView
        :: true ->
           d_step {
             if
             :: WriteApplied ->
                AdoptedVersion[Me] = AppliedVersion[Me];
                AdoptedOwner[Me] = Me;
                LedgerReady[Me] = false; OwnGrants[Me] = 0;
                InheritedSlots[Me] = 0
             :: else
             fi;
             WriteApplied = false
           }
        fi
     fi
  :: Alive[Me] && AdoptedOwner[Me] == Me && !LedgerReady[Me] &&
     AdoptedVersion[Me] > 0 ->
     /* The owner makes a status call with its epoch and initializes the ledger
      * from the answer. */
     if
     :: d_step {
          WORKER_ACCEPTS(AdoptedVersion[Me]) ->
          recordAcceptedEpoch(AdoptedVersion[Me]);
          LastAcceptedHost = Me;
#ifndef MUTANT_EMPTY_LEDGER
          UsedSlots = len(RunningRequests)
#endif
        };
        d_step {
          LedgerReady[Me] = true; InheritedSlots[Me] = UsedSlots; UsedSlots = 0
        }
     :: !WORKER_ACCEPTS(AdoptedVersion[Me]) && StoreUp ->
        /* The host is fenced: another host owns the worker. */
        AdoptedVersion[Me] = 0
     fi
  od
}

/* Grants slots on behalf of the owner. This is a process of its own, so that
 * weak fairness applies to the grants and to the view changes separately. */
proctype Ledger(byte Me) {
  byte Epoch;
  do
  :: !Alive[Me] -> break
  :: Alive[Me] && AdoptedOwner[Me] == Me && LedgerReady[Me] &&
     WORKER_ACCEPTS(AdoptedVersion[Me]) &&
     InheritedSlots[Me] > len(RunningRequests) ->
     /* A later status call may only lower the number of inherited slots. */
     InheritedSlots[Me] = len(RunningRequests)
#ifdef MUTANT_LEDGER_FROM_STATUS
  :: Alive[Me] && AdoptedOwner[Me] == Me && LedgerReady[Me] &&
     OwnGrants[Me] + InheritedSlots[Me] > len(RunningRequests) ->
     d_step { InheritedSlots[Me] = 0; OwnGrants[Me] = len(RunningRequests) }
#endif
  :: atomic {
       Alive[Me] && AdoptedOwner[Me] == Me && LedgerReady[Me] &&
       OwnGrants[Me] + InheritedSlots[Me] < SLOTS &&
       nfull(DispatchChannel[Me]) ->
       DispatchChannel[Me]!AdoptedVersion[Me];
       OwnGrants[Me]++
     }
  :: atomic {
       Alive[Me] && nempty(AnswerChannel[Me]) ->
       AnswerChannel[Me]?Epoch;
       if
       :: Epoch == AdoptedVersion[Me] && AdoptedOwner[Me] == Me &&
          OwnGrants[Me] > 0 ->
          OwnGrants[Me]--
       :: else
       fi;
       Epoch = 0
     }
  od
}

/* Crashes hosts, and starts and ends store outages. */
proctype Environment() {
  do
  :: d_step { CrashesLeft > 0 -> CrashesLeft--; Alive[0] = false }
  :: d_step { CrashesLeft > 0 -> CrashesLeft--; Alive[1] = false }
  :: d_step { OutagesLeft > 0 && StoreUp -> OutagesLeft--; StoreUp = false }
  :: !StoreUp -> StoreUp = true
#ifdef VIEW_ONLY
  :: OutagesLeft == 0 && CrashesLeft == 0 && StoreUp /* keeps runs infinite */
#else
  :: OutagesLeft == 0 && CrashesLeft == 0 && StoreUp -> break
#endif
  od
}

init {
  atomic {
    run Worker();
    run Environment();
    run Host(0);
    run Host(1);
#if HOSTS > 2
    run Host(2);
#endif
#ifndef VIEW_ONLY
    run Ledger(0);
    run Ledger(1);
#if HOSTS > 2
    run Ledger(2);
#endif
#endif
  }
}

/* From some time on, the owner is a live host whose epoch the worker has
 * accepted. */
#define OWNED_BY_LIVE_HOST \
  (LastAcceptedHost == StoreOwner && WorkerEpoch == StoreVersion && \
   Alive[StoreOwner])
ltl liveHostOwnsWorker { <> [] (OWNED_BY_LIVE_HOST || !StoreUp) }
