/* Ownership of one worker by the view's epoch.
 *
 * A host becomes owner by a conditional write of the view row whose answer may
 * be lost after the write took effect. A paused host is one that the search
 * does not schedule: it may act on an old view at any later time. A suspicion
 * may be wrong. The worker itself does not limit its slots.
 */
#ifndef HOSTS
#define HOSTS 2
#endif
#define SLOTS 2
#define MAXIMUM_VERSION 4

byte StoreVersion = 1;
byte StoreOwner = 0;
byte AppliedVersion[HOSTS]; /* result of the host's newest write id, or 0 */
bool StoreUp = true;
byte Outages = 1;
byte LostAnswers = 2;
#ifndef WRONG_SUSPICIONS
#define WRONG_SUSPICIONS 2
#endif
byte WrongSuspicions = WRONG_SUSPICIONS;
bool Alive[HOSTS] = true;
byte Crashes = 1;

byte Version[HOSTS] = 1; /* view that the host has adopted */
byte Owner[HOSTS] = 0;
bool Ready[HOSTS]; /* the worker accepted a status call of this epoch */
byte Own[HOSTS];   /* ledger: grants of this owner */
byte Foreign[HOSTS]; /* ledger: slots that earlier owners' requests use */

byte WorkerEpoch;
byte NewestAccepted;
byte OwnerSeen = 9; /* host whose status call the worker accepted last */
chan Running = [SLOTS + 1] of { byte, byte }; /* host, epoch */
chan Dispatch[HOSTS] = [1] of { byte };       /* epoch */
chan Answer[HOSTS] = [SLOTS + 1] of { byte }; /* epoch */

inline accept(Epoch) {
  assert(Epoch >= NewestAccepted);
  if
  :: Epoch > NewestAccepted -> NewestAccepted = Epoch
  :: else
  fi;
  if
  :: Epoch > WorkerEpoch -> WorkerEpoch = Epoch
  :: else
  fi
}

#ifdef MUTANT_NO_FENCING
#define ACCEPTED(Epoch) true
#else
#define ACCEPTED(Epoch) ((Epoch) >= WorkerEpoch)
#endif

proctype Worker() {
  byte H, Epoch;
end:
  do
  :: atomic {
       if
       :: Dispatch[0]?Epoch -> H = 0
       :: Dispatch[1]?Epoch -> H = 1
#if HOSTS > 2
       :: Dispatch[2]?Epoch -> H = 2
#endif
       fi;
       if
       :: ACCEPTED(Epoch) ->
          accept(Epoch);
          assert(len(Running) < SLOTS);
          Running!H, Epoch
       :: else ->
          /* Refused before start; a full channel means a lost answer. */
          if
          :: nfull(Answer[H]) -> Answer[H]!Epoch
          :: full(Answer[H])
          fi
       fi;
       H = 0; Epoch = 0
     }
  :: atomic {
       Running?H, Epoch ->
       if
       :: nempty(Running) -> Running!H, Epoch; Running?H, Epoch
       :: true
       fi;
       if
       :: nfull(Answer[H]) -> Answer[H]!Epoch
       :: full(Answer[H])
       fi;
       H = 0; Epoch = 0
     }
  od
}

proctype Host(byte Me) {
  byte Used;
  bool Applied;
end:
  do
  :: !Alive[Me] -> break
  :: Alive[Me] && StoreUp && Version[Me] != StoreVersion ->
     /* Poll of the view row. */
     d_step {
       Version[Me] = StoreVersion;
       Owner[Me] = StoreOwner;
       Ready[Me] = false; Own[Me] = 0; Foreign[Me] = 0
     }
  :: d_step {
       /* Takeover from an owner that is dead, or wrongly suspected. */
       Alive[Me] && Owner[Me] != Me && Version[Me] > 0 &&
       Version[Me] < MAXIMUM_VERSION &&
#ifdef MUTANT_NO_TAKEOVER
       false &&
#endif
       (!Alive[Owner[Me]] || WrongSuspicions > 0) ->
       if
       :: Alive[Owner[Me]] -> WrongSuspicions--
       :: else
       fi;
       AppliedVersion[Me] = 0;
       Applied = false
     };
writing:
     if
     :: !Alive[Me]
     :: Alive[Me] && StoreUp ->
        d_step {
          if
#ifndef MUTANT_NO_WRITE_ID
          :: AppliedVersion[Me] != 0 -> Applied = true
          :: AppliedVersion[Me] == 0 &&
#else
          ::
#endif
#ifdef MUTANT_UNCONDITIONAL_WRITE
             true ->
             StoreVersion = Version[Me] + 1;
#else
             StoreVersion == Version[Me] ->
             StoreVersion = Version[Me] + 1;
#endif
             StoreOwner = Me;
             /* One intended change takes effect once. */
             assert(AppliedVersion[Me] == 0);
             AppliedVersion[Me] = StoreVersion;
             Applied = true
          :: else -> Applied = false
          fi
        };
        if
        :: d_step { LostAnswers > 0 -> LostAnswers-- };
#ifdef MUTANT_NO_WRITE_ID
           /* Repeats the change on top of the version that it finds. */
           Version[Me] = StoreVersion;
#endif
           goto writing
        :: true ->
           d_step {
             if
             :: Applied ->
                Version[Me] = AppliedVersion[Me];
                Owner[Me] = Me;
                Ready[Me] = false; Own[Me] = 0; Foreign[Me] = 0
             :: else
             fi;
             Applied = false
           }
        fi
     fi
  :: Alive[Me] && Owner[Me] == Me && !Ready[Me] && Version[Me] > 0 ->
     /* Status call with the epoch, then the ledger starts from its answer. */
     if
     :: d_step {
          ACCEPTED(Version[Me]) ->
          accept(Version[Me]);
          OwnerSeen = Me;
#ifndef MUTANT_EMPTY_LEDGER
          Used = len(Running)
#endif
        };
        d_step { Ready[Me] = true; Foreign[Me] = Used; Used = 0 }
     :: !ACCEPTED(Version[Me]) && StoreUp ->
        /* Fenced: another host owns the worker. */
        Version[Me] = 0
     fi
  od
}

/* Grants of the owner; a separate process, so that fairness holds for it and
 * for the changes of the view alike. */
proctype Ledger(byte Me) {
  byte Epoch;
  do
  :: !Alive[Me] -> break
  :: Alive[Me] && Owner[Me] == Me && Ready[Me] && ACCEPTED(Version[Me]) &&
     Foreign[Me] > len(Running) ->
     /* A later status call only lowers the share of earlier owners. */
     Foreign[Me] = len(Running)
#ifdef MUTANT_LEDGER_FROM_STATUS
  :: Alive[Me] && Owner[Me] == Me && Ready[Me] &&
     Own[Me] + Foreign[Me] > len(Running) ->
     d_step { Foreign[Me] = 0; Own[Me] = len(Running) }
#endif
  :: atomic {
       Alive[Me] && Owner[Me] == Me && Ready[Me] &&
       Own[Me] + Foreign[Me] < SLOTS && nfull(Dispatch[Me]) ->
       Dispatch[Me]!Version[Me];
       Own[Me]++
     }
  :: atomic {
       Alive[Me] && nempty(Answer[Me]) ->
       Answer[Me]?Epoch;
       if
       :: Epoch == Version[Me] && Owner[Me] == Me && Own[Me] > 0 -> Own[Me]--
       :: else
       fi;
       Epoch = 0
     }
  od
}

proctype Environment() {
  do
  :: d_step { Crashes > 0 -> Crashes--; Alive[0] = false }
  :: d_step { Crashes > 0 -> Crashes--; Alive[1] = false }
  :: d_step { Outages > 0 && StoreUp -> Outages--; StoreUp = false }
  :: !StoreUp -> StoreUp = true
#ifdef VIEW_ONLY
  :: Outages == 0 && Crashes == 0 && StoreUp /* time passes */
#else
  :: Outages == 0 && Crashes == 0 && StoreUp -> break
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

/* From some time on a live host is the owner that the worker accepts. */
#define OWNED (OwnerSeen == StoreOwner && WorkerEpoch == StoreVersion && \
               Alive[StoreOwner])
ltl owned { <> [] (OWNED || !StoreUp) }
