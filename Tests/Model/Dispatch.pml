/* At-most-once dispatch of one non-idempotent key by several accepting hosts.
 *
 * In view V host V-1 is home and host V is backup of the key's shard. A view
 * change removes the home, which may be dead, paused or only cut off. Messages
 * form a set: a receiver may handle a message that was sent at any later time
 * and any number of times, which covers loss, delay, repetition and reordering.
 * Messages that no receiver can act on any more are removed from the set to
 * keep the search small. Accepting hosts have the numbers 1 to CALLERS, and
 * each serves one submission of the same key.
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
#define NOBODY 0
#define FINISHED 7
#define NOT_SENT 8
#define BIT(N) (1 << (N))
#define SLOT(V, S) ((V) * (SEQUENCES + 1) + (S))

#define NONE 0
#define RAN 1 /* ANSWERED, or UNKNOWN if the answer was lost */
#define NOT_RUN 2

byte StoreView = 1;
byte Adopted[HOSTS] = 1;
byte Holder[HOSTS] = NOBODY;
bool Granted[HOSTS];
byte Sequence[HOSTS]; /* last sent by the home, last applied by the backup */
bool Complete[HOSTS]; /* the host holds the whole history of the shard */

/* Messages; sets of callers are bit masks. */
byte ClaimSent[VIEWS + 1];
byte GrantSent;
byte Replicated[(VIEWS + 1) * (SEQUENCES + 1)] = NOT_SENT;
bool Acknowledged[VIEWS + 1]; /* the newest record that the home sent */
bool TransferSent[VIEWS + 1];
byte TransferHolder[VIEWS + 1];
byte ReleaseSent;
byte OutcomeSent;

byte Executions;
byte Told[CALLERS + 1] = NONE;
byte Sent; /* set of callers whose host wrote to the worker */

#define IS_HOME(H) (Adopted[H] == (H) + 1)
#define IS_BACKUP(H) (Adopted[H] == (H))

inline replicate(H, NewHolder) {
  Sequence[H]++;
  Holder[H] = NewHolder;
  Acknowledged[(H) + 1] = false;
  if
  :: Adopted[(H) + 1] <= (H) + 1 ->
     Replicated[SLOT((H) + 1, Sequence[H])] = NewHolder
  :: else /* the backup has left this view */
  fi
}

inline grant(H, C) {
  if
  :: Told[C] == NONE -> GrantSent = GrantSent | BIT(C)
  :: else
  fi
}

/* ClaimKey from C at the home. */
#ifdef MUTANT_INCOMPLETE_HOME
#define MAY_GRANT(H) true
#else
#define MAY_GRANT(H) Complete[H]
#endif
inline claim(H, C) {
  d_step {
    IS_HOME(H) && MAY_GRANT(H) && (ClaimSent[(H) + 1] & BIT(C)) != 0 &&
    !Granted[H] && Holder[H] != C && Sequence[H] < SEQUENCES ->
    /* A tentative claim may give way to another one. */
    replicate(H, C);
#ifdef MUTANT_NO_REPLICA
    Granted[H] = true;
    grant(H, C)
#endif
  }
}
inline repeatClaim(H, C) {
  d_step {
    /* A repeated claim; the record is already held by two hosts. */
    IS_HOME(H) && MAY_GRANT(H) && (ClaimSent[(H) + 1] & BIT(C)) != 0 &&
    Granted[H] && Holder[H] == C && (GrantSent & BIT(C)) == 0 ->
    grant(H, C)
  }
}

/* ReplicateKey number S at the backup. */
#ifdef MUTANT_NO_SEQUENCE
#define IS_NEWER(H, S) true
#else
#define IS_NEWER(H, S) ((S) > Sequence[H])
#endif
inline applyReplica(H, S) {
  d_step {
    IS_BACKUP(H) && Replicated[SLOT(H, S)] != NOT_SENT && IS_NEWER(H, S) ->
    Holder[H] = Replicated[SLOT(H, S)];
    Granted[H] = (Holder[H] != NOBODY);
    Sequence[H] = S;
    if
    :: IS_HOME(H - 1) && S == Sequence[H - 1] -> Acknowledged[H] = true
    :: else
    fi;
#ifndef MUTANT_NO_SEQUENCE
    I = 1;
    do
    :: I <= S -> Replicated[SLOT(H, I)] = NOT_SENT; I++
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
       /* Adoption of the newest view, by a new home, a new backup or a host
        * that is none of the two any more. */
       Adopted[H] < StoreView ->
       if
       :: Adopted[H] > 0 && IS_BACKUP(H) ->
          I = 1;
          do
          :: I <= SEQUENCES -> Replicated[SLOT(H, I)] = NOT_SENT; I++
          :: else -> break
          od;
          I = 0
       :: else
       fi;
       Adopted[H] = StoreView;
       Sequence[H] = 0;
       if
       :: Adopted[H] > H + 1 ->
          Complete[H] = false; Granted[H] = false; Holder[H] = NOBODY;
          ClaimSent[H + 1] = 0
       :: IS_HOME(H) && Complete[H] ->
          if
          :: Adopted[H + 1] <= H + 1 ->
             TransferSent[H + 1] = true;
             TransferHolder[H + 1] = Holder[H]
          :: else
          fi
       :: else
       fi
     }
  :: claim(H, 1)
  :: repeatClaim(H, 1)
  :: claim(H, 2)
  :: repeatClaim(H, 2)
#if CALLERS > 2
  :: claim(H, 3)
  :: repeatClaim(H, 3)
#endif
  :: d_step {
       /* Acknowledgement at the home; one of an older record grants nothing. */
       IS_HOME(H) && !Granted[H] && Holder[H] != NOBODY &&
       Acknowledged[H + 1] ->
       Granted[H] = true;
       grant(H, Holder[H])
     }
  :: d_step {
       /* ReportOutcome "released" at the home. */
       IS_HOME(H) && Complete[H] && Holder[H] != NOBODY &&
       Holder[H] != FINISHED && Sequence[H] < SEQUENCES &&
#ifdef MUTANT_RELEASE_WITHOUT_CLAIM_ID
       ReleaseSent != 0 ->
#else
       (ReleaseSent & BIT(Holder[H])) != 0 ->
#endif
       replicate(H, NOBODY);
       Granted[H] = false
     }
  :: d_step {
       /* ReportOutcome with an outcome at the home. */
       IS_HOME(H) && Complete[H] && Holder[H] != NOBODY &&
       Holder[H] != FINISHED && Sequence[H] < SEQUENCES &&
       (OutcomeSent & BIT(Holder[H])) != 0 ->
       replicate(H, FINISHED);
       Granted[H] = true
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
       /* A host that is home by now still acknowledges as backup. */
       H > 0 && IS_HOME(H) && IS_HOME(H - 1) && Sequence[H - 1] > 0 ->
       Acknowledged[H] = true
     }
#endif
  :: d_step {
       /* TransferShard at the backup. */
       IS_BACKUP(H) && !Complete[H] && TransferSent[H] ->
       if
#ifdef MUTANT_TRANSFER_OVERWRITES
       :: true ->
#else
       :: Sequence[H] == 0 ->
#endif
          Holder[H] = TransferHolder[H];
          Granted[H] = (Holder[H] != NOBODY)
#ifndef MUTANT_TRANSFER_OVERWRITES
       :: else
#endif
       fi;
       TransferHolder[H] = NOBODY;
       Complete[H] = true
     }
  od
}

proctype ViewChange() {
end:
  do
  :: StoreView < VIEWS -> StoreView++
  od
}

/* An accepting host on behalf of one submission of the key. */
proctype Accepting(byte C) {
  do
  :: d_step {
       (ClaimSent[StoreView] & BIT(C)) == 0 &&
       Adopted[StoreView - 1] <= StoreView ->
       ClaimSent[StoreView] = ClaimSent[StoreView] | BIT(C)
     }
  :: (GrantSent & BIT(C)) != 0 -> break
#ifndef MUTANT_NO_DEADLINE
  :: true -> goto notSent /* deadline */
#endif
  od;
  /* The host may pause here for any time. */
  atomic {
    if
    :: true ->
       Sent = Sent | BIT(C);
       Executions++;
       assert(Executions <= 1);
#ifdef MUTANT_NOT_RUN_AFTER_SEND
       Told[C] = NOT_RUN;
       ReleaseSent = ReleaseSent | BIT(C);
#else
       Told[C] = RAN;
       OutcomeSent = OutcomeSent | BIT(C);
#endif
       goto told
    :: true /* no slot before the deadline */
    fi
  };
notSent:
  atomic {
    Told[C] = NOT_RUN;
    ReleaseSent = ReleaseSent | BIT(C)
  };
told:
  atomic {
    GrantSent = GrantSent & (255 - BIT(C));
    assert(Told[C] != NOT_RUN || (Sent & BIT(C)) == 0);
#ifdef LIMIT_KEY_LEVEL_NOT_RUN
    /* Does not hold: "not run" speaks of this submission only. */
    assert(Told[C] != NOT_RUN || Executions == 0)
#endif
  }
}

init {
  d_step {
    Complete[0] = true;
    Complete[1] = true
  };
  atomic {
    run Host(0);
    run Host(1);
    run Host(2);
#if VIEWS > 2
    run Host(3);
#endif
    run ViewChange();
    run Accepting(1);
#if CALLERS > 2
    run Accepting(3);
#endif
    run Accepting(2)
  }
}

ltl outcome {
  <> (Told[1] != NONE && Told[2] != NONE && Told[CALLERS] != NONE)
}
