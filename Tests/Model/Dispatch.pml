/* Models the at-most-once dispatch of one non-idempotent key when several hosts
 * accept a submission of it.
 *
 * An accepting host claims the key at the home host of the key's shard before
 * it writes to the worker. The home grants the claim once the backup host has
 * acknowledged the replicated record of the claim.
 *
 * In view V, host V-1 is the home and host V is the backup of the shard. A view
 * change removes the home, which may have crashed, be paused or be partitioned
 * from the others. Messages form a set: a receiver may handle a sent message at
 * any later time and any number of times, which covers loss, delay, repetition
 * and reordering. Messages that no receiver can act on any more are removed
 * from the set to keep the state space small. The accepting hosts (callers) are
 * numbered from 1 to CALLERS; each serves one submission of the same key.
 *
 * In macros and inlines, H is a host, C a caller, V a view and S the sequence
 * number of a replicated record.
 */
#ifndef VIEWS
#define VIEWS 3
#endif
#ifndef CALLERS
#define CALLERS 2
#endif
#ifndef SEQUENCES
#define SEQUENCES 3
#endif
#define HOSTS (VIEWS + 1)
/* Values of ClaimHolder and ReplicatedHolder besides a caller. */
#define NO_HOLDER 0
#define FINISHED 7
#define NOT_SENT 8
#define BIT(N) (1 << (N))
#define RECORD_INDEX(V, S) ((V) * (SEQUENCES + 1) + (S))

/* Values of ReportedOutcome. */
#define NO_OUTCOME 0
#define RAN 1 /* stands for ANSWERED, and for UNKNOWN if the answer was lost */
#define NOT_RUN 2

/* State of the store and of the hosts. */
byte StoreView = 1;
byte AdoptedView[HOSTS] = 1;
byte ClaimHolder[HOSTS] = NO_HOLDER;
bool ClaimGranted[HOSTS]; /* home and backup both hold the claim */
/* Newest record sent (by the home) or applied (by the backup). */
byte LastSequence[HOSTS];
bool HasFullHistory[HOSTS]; /* the host has every record of the shard */

/* Messages that were sent. Sets of callers are bit masks; arrays of size
 * VIEWS + 1 are indexed by view. */
byte ClaimsSent[VIEWS + 1];
byte GrantsSent;
byte ReplicatedHolder[(VIEWS + 1) * (SEQUENCES + 1)] = NOT_SENT;
bool RecordAcknowledged[VIEWS + 1]; /* backup acknowledged the newest record */
bool TransferSent[VIEWS + 1];
byte TransferHolder[VIEWS + 1];
byte ReleasesSent;
byte OutcomesSent;

byte Executions;
byte ReportedOutcome[CALLERS + 1] = NO_OUTCOME;
byte WroteToWorker; /* set of callers that wrote to the worker */

#define IS_HOME(H) (AdoptedView[H] == (H) + 1)
#define IS_BACKUP(H) (AdoptedView[H] == (H))

/* Records a new claim holder at home H and sends the record to the backup. */
inline replicateHolder(H, NewHolder) {
  LastSequence[H]++;
  ClaimHolder[H] = NewHolder;
  RecordAcknowledged[(H) + 1] = false;
  if
  :: AdoptedView[(H) + 1] <= (H) + 1 ->
     ReplicatedHolder[RECORD_INDEX((H) + 1, LastSequence[H])] = NewHolder
  :: else /* the backup has adopted a newer view and ignores the record */
  fi
}

/* Sends a grant to caller C unless its submission has already been answered. */
inline sendGrant(H, C) {
  if
  :: ReportedOutcome[C] == NO_OUTCOME -> GrantsSent = GrantsSent | BIT(C)
  :: else
  fi
}

/* Home H handles a ClaimKey call of caller C. */
#ifdef MUTANT_INCOMPLETE_HOME
#define MAY_GRANT(H) true
#else
#define MAY_GRANT(H) HasFullHistory[H]
#endif
inline handleClaim(H, C) {
  d_step {
    IS_HOME(H) && MAY_GRANT(H) && (ClaimsSent[(H) + 1] & BIT(C)) != 0 &&
    !ClaimGranted[H] && ClaimHolder[H] != C && LastSequence[H] < SEQUENCES ->
    /* A claim that is not granted yet may be replaced by another one. */
    replicateHolder(H, C);
#ifdef MUTANT_NO_REPLICA
    ClaimGranted[H] = true;
    sendGrant(H, C)
#endif
  }
}
inline handleRepeatedClaim(H, C) {
  d_step {
    /* The caller repeats its claim. Home and backup already hold the record, so
     * the home grants the claim at once. */
    IS_HOME(H) && MAY_GRANT(H) && (ClaimsSent[(H) + 1] & BIT(C)) != 0 &&
    ClaimGranted[H] && ClaimHolder[H] == C && (GrantsSent & BIT(C)) == 0 ->
    sendGrant(H, C)
  }
}

/* Backup H handles the ReplicateKey call with sequence number S. */
#ifdef MUTANT_NO_SEQUENCE
#define IS_NEWER(H, S) true
#else
#define IS_NEWER(H, S) ((S) > LastSequence[H])
#endif
inline applyReplica(H, S) {
  d_step {
    IS_BACKUP(H) && ReplicatedHolder[RECORD_INDEX(H, S)] != NOT_SENT &&
    IS_NEWER(H, S) ->
    ClaimHolder[H] = ReplicatedHolder[RECORD_INDEX(H, S)];
    ClaimGranted[H] = (ClaimHolder[H] != NO_HOLDER);
    LastSequence[H] = S;
    if
    :: IS_HOME(H - 1) && S == LastSequence[H - 1] ->
       RecordAcknowledged[H] = true
    :: else
    fi;
#ifndef MUTANT_NO_SEQUENCE
    I = 1;
    do
    :: I <= S -> ReplicatedHolder[RECORD_INDEX(H, I)] = NOT_SENT; I++
    :: else -> break
    od;
    I = 0
#endif
  }
}

proctype Host(byte H) {
  byte I;
end:
  do
  :: d_step {
       /* The host adopts the newest view, in which it may become home or backup
        * or stop being either. */
       AdoptedView[H] < StoreView ->
       if
       :: AdoptedView[H] > 0 && IS_BACKUP(H) ->
          I = 1;
          do
          :: I <= SEQUENCES ->
             ReplicatedHolder[RECORD_INDEX(H, I)] = NOT_SENT; I++
          :: else -> break
          od;
          I = 0
       :: else
       fi;
       AdoptedView[H] = StoreView;
       LastSequence[H] = 0;
       if
       :: AdoptedView[H] > H + 1 ->
          HasFullHistory[H] = false; ClaimGranted[H] = false;
          ClaimHolder[H] = NO_HOLDER;
          ClaimsSent[H + 1] = 0
       :: IS_HOME(H) && HasFullHistory[H] ->
          if
          :: AdoptedView[H + 1] <= H + 1 ->
             TransferSent[H + 1] = true;
             TransferHolder[H + 1] = ClaimHolder[H]
          :: else
          fi
       :: else
       fi
     }
  :: handleClaim(H, 1)
  :: handleRepeatedClaim(H, 1)
  :: handleClaim(H, 2)
  :: handleRepeatedClaim(H, 2)
#if CALLERS > 2
  :: handleClaim(H, 3)
  :: handleRepeatedClaim(H, 3)
#endif
  :: d_step {
       /* The home handles the acknowledgement of its newest record and grants
        * the claim. The acknowledgement of an older record has no effect. */
       IS_HOME(H) && !ClaimGranted[H] && ClaimHolder[H] != NO_HOLDER &&
       RecordAcknowledged[H + 1] ->
       ClaimGranted[H] = true;
       sendGrant(H, ClaimHolder[H])
     }
  :: d_step {
       /* The home handles a ReportOutcome call that releases the claim. */
       IS_HOME(H) && HasFullHistory[H] && ClaimHolder[H] != NO_HOLDER &&
       ClaimHolder[H] != FINISHED && LastSequence[H] < SEQUENCES &&
#ifdef MUTANT_RELEASE_WITHOUT_CLAIM_ID
       ReleasesSent != 0 ->
#else
       (ReleasesSent & BIT(ClaimHolder[H])) != 0 ->
#endif
       replicateHolder(H, NO_HOLDER);
       ClaimGranted[H] = false
     }
  :: d_step {
       /* The home handles a ReportOutcome call with the outcome of a run. */
       IS_HOME(H) && HasFullHistory[H] && ClaimHolder[H] != NO_HOLDER &&
       ClaimHolder[H] != FINISHED && LastSequence[H] < SEQUENCES &&
       (OutcomesSent & BIT(ClaimHolder[H])) != 0 ->
       replicateHolder(H, FINISHED);
       ClaimGranted[H] = true
     }
  :: applyReplica(H, 1)
#if SEQUENCES > 1
  :: applyReplica(H, 2)
#endif
#if SEQUENCES > 2
  :: applyReplica(H, 3)
#endif
#ifdef MUTANT_NO_VIEW_CHECK
  :: d_step {
       /* Fault: a host that has become home still acknowledges the records of
        * the former home as if it were the backup. */
       H > 0 && IS_HOME(H) && IS_HOME(H - 1) && LastSequence[H - 1] > 0 ->
       RecordAcknowledged[H] = true
     }
#endif
  :: d_step {
       /* The backup handles a TransferShard call. A record that it has already
        * applied is newer than the transferred state. */
       IS_BACKUP(H) && !HasFullHistory[H] && TransferSent[H] ->
       if
#ifdef MUTANT_TRANSFER_OVERWRITES
       :: true ->
#else
       :: LastSequence[H] == 0 ->
#endif
          ClaimHolder[H] = TransferHolder[H];
          ClaimGranted[H] = (ClaimHolder[H] != NO_HOLDER)
#ifndef MUTANT_TRANSFER_OVERWRITES
       :: else
#endif
       fi;
       TransferHolder[H] = NO_HOLDER;
       HasFullHistory[H] = true
     }
  od
}

/* Removes the current home by a new view, at any time. */
proctype ViewChange() {
end:
  do
  :: StoreView < VIEWS -> StoreView++
  od
}

/* An accepting host: claims the key for submission C, writes to the worker and
 * reports the outcome to the client and the home. */
proctype AcceptingHost(byte C) {
  do
  :: d_step {
       (ClaimsSent[StoreView] & BIT(C)) == 0 &&
       AdoptedView[StoreView - 1] <= StoreView ->
       ClaimsSent[StoreView] = ClaimsSent[StoreView] | BIT(C)
     }
  :: (GrantsSent & BIT(C)) != 0 -> break
#ifndef MUTANT_NO_DEADLINE
  :: true -> goto reportNotRun /* the deadline passes without a grant */
#endif
  od;
  /* The host may pause here for any length of time. */
  atomic {
    if
    :: true ->
       WroteToWorker = WroteToWorker | BIT(C);
       Executions++;
       assert(Executions <= 1);
#ifdef MUTANT_NOT_RUN_AFTER_SEND
       ReportedOutcome[C] = NOT_RUN;
       ReleasesSent = ReleasesSent | BIT(C);
#else
       ReportedOutcome[C] = RAN;
       OutcomesSent = OutcomesSent | BIT(C);
#endif
       goto reported
    :: true /* the worker has no free slot before the deadline */
    fi
  };
reportNotRun:
  atomic {
    ReportedOutcome[C] = NOT_RUN;
    ReleasesSent = ReleasesSent | BIT(C)
  };
reported:
  atomic {
    GrantsSent = GrantsSent & (255 - BIT(C));
    assert(ReportedOutcome[C] != NOT_RUN || (WroteToWorker & BIT(C)) == 0);
#ifdef LIMIT_KEY_LEVEL_NOT_RUN
    /* Expected to fail: NOT_RUN is a statement about this submission only;
     * another submission of the key may have run. */
    assert(ReportedOutcome[C] != NOT_RUN || Executions == 0)
#endif
  }
}

init {
  d_step {
    HasFullHistory[0] = true;
    HasFullHistory[1] = true
  };
  atomic {
    run Host(0);
    run Host(1);
    run Host(2);
#if VIEWS > 2
    run Host(3);
#endif
    run ViewChange();
    run AcceptingHost(1);
#if CALLERS > 2
    run AcceptingHost(3);
#endif
    run AcceptingHost(2)
  }
}

/* Every submission is answered in the end. */
ltl everyCallerGetsOutcome {
  <> (ReportedOutcome[1] != NO_OUTCOME && ReportedOutcome[2] != NO_OUTCOME &&
      ReportedOutcome[CALLERS] != NO_OUTCOME)
}
