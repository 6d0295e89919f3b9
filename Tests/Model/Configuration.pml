/* Models the acceptance of configuration versions and the ServingGate.
 *
 * A version is accepted once every member host has adopted it. The main
 * property is that no host serves requests with a version that is older than
 * the accepted one.
 *
 * One tick is one second of the hosts' monotonic clocks, which advance on a
 * paused host too. A host increments its heartbeat counter in the store, then
 * reads the configuration head (the newest version) and the view (the set of
 * members). The two reads are its confirmation; the age of the confirmation is
 * measured from the time at which the host sent the counter write. A host may
 * pause between any two steps for any length of time. Ticks are not
 * synchronized with the hosts' steps: several ticks may pass within one step,
 * which models slow hosts and slow calls.
 *
 * In macros, H is a host, P a peer host, V a version and M a bit mask of hosts.
 */
#define HOSTS 3
#define ALL_HOSTS 7
#ifndef MAXIMUM_VERSION
#define MAXIMUM_VERSION 2
#endif
/* Ticks: oldest confirmation with which a host serves requests. */
#define FRESH_AGE_LIMIT 2
/* Ticks: a member whose counter is unchanged for this long may be removed. */
#define SILENCE_LIMIT 3
/* Ticks: all times stop counting here, which keeps the state space finite. */
#define AGE_CAP 3
#define BIT(N) (1 << (N))

/* State of the store. */
bool StoreUp = true;
byte OutagesLeft = 1;
byte HeadVersion = 1;
byte Members = ALL_HOSTS;
/* By version: number of operators whose write of it took effect. */
byte SuccessfulWrites[MAXIMUM_VERSION + 1];

/* State of the hosts; all ages and times are in ticks. */
byte KnownVersion[HOSTS] = 1;
byte ConfirmationAge[HOSTS]; /* age of the newest confirmation */
byte PendingWriteAge; /* Host(2): time since it sent its counter write */
byte UnchangedTime;   /* Host(2): time since its counter changed in the store */
#ifdef PEERS
/* Time since the newest counter write that took effect was sent. */
byte AppliedWriteAge[HOSTS];
#endif
bool Paused[HOSTS]; /* paused until Environment resumes the host */
byte PausesLeft = 1;

byte AcceptedVersion = 1;

#define IS_MEMBER(H) ((Members & BIT(H)) != 0)
#define COUNT(M) (((M) & 1) + (((M) >> 1) & 1) + (((M) >> 2) & 1))
/* Members that are not paused, and so reachable by their peers. */
#define RUNNING_MEMBERS (Members & ((1 - Paused[0]) + 2 * (1 - Paused[1]) + \
                            4 * (1 - Paused[2])))
#define IS_MAJORITY(M) (2 * COUNT(M) > COUNT(Members))

inline incrementAge(X) {
  if
  :: X < AGE_CAP -> X++
  :: else
  fi
}

proctype Clock() {
  do
  :: d_step {
#ifdef MUTANT_CLOCK_STOPS
       if
       :: !Paused[0] -> incrementAge(ConfirmationAge[0])
       :: else
       fi;
       if
       :: !Paused[1] -> incrementAge(ConfirmationAge[1])
       :: else
       fi;
       if
       :: !Paused[2] -> incrementAge(ConfirmationAge[2])
       :: else
       fi;
#elif !defined(FROZEN_FOR_EVER)
       /* Acceptance does not depend on the ages of the confirmations, so the
        * liveness check leaves them out. */
       incrementAge(ConfirmationAge[0]);
       incrementAge(ConfirmationAge[1]);
       incrementAge(ConfirmationAge[2]);
#endif
       incrementAge(PendingWriteAge);
#ifdef PEERS
       incrementAge(AppliedWriteAge[0]);
       incrementAge(AppliedWriteAge[1]);
       incrementAge(AppliedWriteAge[2]);
#endif
       /* No counter can change during a store outage, so an unchanged counter
        * says nothing about its host then. */
       if
#ifdef VARIANT_SILENCE_IN_OUTAGE
       :: true ->
#else
       :: StoreUp ->
#endif
          incrementAge(UnchangedTime)
#ifndef VARIANT_SILENCE_IN_OUTAGE
       :: else -> UnchangedTime = 0
#endif
       fi
     }
  od
}

/* Adopts version V at host H unless H already has a newer one. */
inline adopt(H, V) {
#ifdef MUTANT_VERSION_GOES_BACK
  KnownVersion[H] = V
#else
  assert(V <= HeadVersion);
  if
  :: V > KnownVersion[H] -> KnownVersion[H] = V
  :: else
  fi
#endif
}

/* A host that repeats three steps: write the heartbeat counter, read the head
 * and the view, apply what it read as its new confirmation. It may pause before
 * each step. */
proctype Host(byte H) {
  byte ReadVersion;
  bool WasMember;
  byte VersionBefore;
  do
  :: d_step { !Paused[H] -> PendingWriteAge = 0 };
     if
     :: d_step {
          !Paused[H] && StoreUp ->
          UnchangedTime = 0;
#ifdef PEERS
          AppliedWriteAge[H] = PendingWriteAge
#endif
        };
        if
        :: d_step {
             !Paused[H] && StoreUp ->
             ReadVersion = HeadVersion;
             WasMember = IS_MEMBER(H);
#ifdef MUTANT_AGE_FROM_READ
             PendingWriteAge = 0
#endif
           };
           if
           :: d_step {
                !Paused[H] && WasMember ->
                VersionBefore = KnownVersion[H];
                adopt(H, ReadVersion);
                /* The known version of a host never decreases. */
                assert(KnownVersion[H] >= VersionBefore);
#ifdef MUTANT_AGE_FROM_ANSWER
                ConfirmationAge[H] = 0;
#else
                ConfirmationAge[H] = PendingWriteAge;
#endif
                ReadVersion = 0; WasMember = false; VersionBefore = 0;
                PendingWriteAge = AGE_CAP
              }
           :: d_step {
                /* A removed host joins again, and serves only after its next
                 * confirmation. */
                !Paused[H] && !WasMember && StoreUp ->
                Members = Members | BIT(H);
#ifdef MUTANT_SERVE_ON_JOIN
                KnownVersion[H] = (ReadVersion > KnownVersion[H] ->
                                   ReadVersion : KnownVersion[H]);
                ConfirmationAge[H] = PendingWriteAge;
#endif
                ReadVersion = 0
              }
           fi
        :: d_step { !StoreUp -> ReadVersion = 0 }
        fi
     :: !StoreUp
     fi
  od
}

/* A host that does all three steps at once, pauses only between rounds and is
 * never removed. Two such hosts keep the state space small; Host(2) covers the
 * pauses between the steps. */
proctype RoundHost(byte H) {
  do
  :: d_step {
       !Paused[H] && StoreUp ->
#ifdef PEERS
       AppliedWriteAge[H] = 0;
#endif
       adopt(H, HeadVersion);
       ConfirmationAge[H] = 0
     }
  od
}

/* Host H receives the confirmation of peer P and adopts its version and age.
 *
 * LIMIT_PEER_AGE selects the rule of the design page, by which H adopts every
 * confirmation that is newer than its own. This rule is unsafe: a host whose
 * own counter writes do not reach the store is removed while it still serves.
 * The default rule is stricter. The adopted age is at least the age of H's own
 * newest counter write that took effect, and a host whose own confirmation has
 * expired must read the store itself.
 */
#ifdef PEERS
inline adoptPeerConfirmation(H, P) {
  d_step {
    !Paused[H] && !Paused[P] &&
#ifdef LIMIT_PEER_AGE
    ConfirmationAge[P] < ConfirmationAge[H] ->
    adopt(H, KnownVersion[P]);
    ConfirmationAge[H] = ConfirmationAge[P]
#else
    ConfirmationAge[H] <= FRESH_AGE_LIMIT &&
    ConfirmationAge[P] < ConfirmationAge[H] &&
    AppliedWriteAge[H] < ConfirmationAge[H] ->
    adopt(H, KnownVersion[P]);
    ConfirmationAge[H] = (ConfirmationAge[P] > AppliedWriteAge[H] ->
                          ConfirmationAge[P] : AppliedWriteAge[H])
#endif
  }
}
proctype PeerConfirmations() {
end:
  do
  :: adoptPeerConfirmation(0, 1)
  :: adoptPeerConfirmation(0, 2)
  :: adoptPeerConfirmation(1, 0)
  :: adoptPeerConfirmation(1, 2)
  :: adoptPeerConfirmation(2, 0)
  :: adoptPeerConfirmation(2, 1)
  od
}
#endif

/* Delivers the head to a host that is not paused, by a push from a peer or by
 * the poll of the host. */
proctype ConfigurationPush(byte H) {
end:
  do
  :: d_step {
       !Paused[H] && KnownVersion[H] < HeadVersion -> adopt(H, HeadVersion)
     }
  od
}

/* Removes member H from the view when its counter has not changed for
 * SILENCE_LIMIT and the remaining running members are a majority. */
proctype MemberRemoval(byte H) {
end:
  do
  :: d_step {
       StoreUp && IS_MEMBER(H) && UnchangedTime >= SILENCE_LIMIT &&
       IS_MAJORITY(RUNNING_MEMBERS & (ALL_HOSTS - BIT(H))) ->
#ifndef MUTANT_NO_REMOVAL
       Members = Members & (ALL_HOSTS - BIT(H))
#endif
     }
  od
}

#define HAS_HEAD_OR_IS_REMOVED(H) \
  (!IS_MEMBER(H) || KnownVersion[H] >= HeadVersion)
/* Accepts the head once no member has an older version. */
proctype Acceptance() {
end:
  do
  :: d_step {
       AcceptedVersion < HeadVersion &&
#ifndef MUTANT_ACCEPT_WITHOUT_WAITING
       HAS_HEAD_OR_IS_REMOVED(0) && HAS_HEAD_OR_IS_REMOVED(1) &&
       HAS_HEAD_OR_IS_REMOVED(2) &&
#endif
       true -> AcceptedVersion = HeadVersion
     }
  od
}

/* Changes the configuration by a conditional write. A lost answer needs no step
 * of its own: the retry finds its own write ID in the store and so learns that
 * the write took effect. */
proctype Operator(byte Me) {
  byte ExpectedVersion;
  byte AttemptsLeft = 1;
  do
  :: d_step { AttemptsLeft > 0 && HeadVersion < MAXIMUM_VERSION ->
       AttemptsLeft--; ExpectedVersion = HeadVersion };
     if
     :: d_step {
          StoreUp ->
          if
#ifdef MUTANT_UNCONDITIONAL_WRITE
          :: true ->
#else
          :: HeadVersion == ExpectedVersion ->
#endif
             HeadVersion = ExpectedVersion + 1;
             SuccessfulWrites[ExpectedVersion + 1]++;
             /* At most one write of each version takes effect. */
             assert(SuccessfulWrites[ExpectedVersion + 1] <= 1)
#ifndef MUTANT_UNCONDITIONAL_WRITE
          :: else /* CONFLICT */
#endif
          fi;
          ExpectedVersion = 0
        }
     fi
  :: AttemptsLeft == 0 || HeadVersion == MAXIMUM_VERSION -> break
  od
}

/* A host serves requests if it has a fresh confirmation. It also serves in a
 * total outage, that is, while it can reach a majority of the members of which
 * none has a fresh confirmation. */
#define SERVES_BY_CONFIRMATION(H) (ConfirmationAge[H] <= FRESH_AGE_LIMIT)
#ifdef MUTANT_OUTAGE_WITHOUT_CONTACT
#define CONFIRMS_OUTAGE(H, P) true
#else
#define CONFIRMS_OUTAGE(H, P) \
  (!Paused[P] && ConfirmationAge[P] > FRESH_AGE_LIMIT && \
   KnownVersion[P] == KnownVersion[H] && IS_MEMBER(P))
#endif
#define SERVES_IN_OUTAGE(H) \
  (ConfirmationAge[H] > FRESH_AGE_LIMIT && IS_MEMBER(H) && \
   (CONFIRMS_OUTAGE(H, ((H) + 1) % HOSTS) || \
    CONFIRMS_OUTAGE(H, ((H) + 2) % HOSTS)))
#define SERVES(H) \
  (!Paused[H] && (SERVES_BY_CONFIRMATION(H) || SERVES_IN_OUTAGE(H)))

/* Checks in every state that no host serves with a version that is older than
 * the accepted one. Whether a host serves follows from the other variables. */
proctype ServingCheck() {
end:
  do
  :: d_step {
       (SERVES(0) && KnownVersion[0] < AcceptedVersion) ||
       (SERVES(1) && KnownVersion[1] < AcceptedVersion) ||
       (SERVES(2) && KnownVersion[2] < AcceptedVersion) ->
       assert(false)
     }
  od
}

/* Pauses and resumes Host(2), and starts and ends store outages. */
proctype Environment() {
end:
  do
  :: d_step { PausesLeft > 0 -> PausesLeft--; Paused[2] = true }
#ifndef FROZEN_FOR_EVER
  :: d_step { Paused[2] -> Paused[2] = false }
#endif
  :: d_step { OutagesLeft > 0 && StoreUp -> OutagesLeft--; StoreUp = false }
  :: d_step { !StoreUp -> StoreUp = true }
  od
}

init {
  atomic {
    run Clock();
    run Environment();
    run Acceptance();
#ifndef FROZEN_FOR_EVER
    run ServingCheck();
#endif
#ifdef PEERS
    run PeerConfirmations();
#endif
    run RoundHost(0); run RoundHost(1); run Host(2);
    run ConfigurationPush(0);
    run ConfigurationPush(1);
    run ConfigurationPush(2);
    run MemberRemoval(2);
    run Operator(0); run Operator(1)
  }
}

/* Version 2 is accepted in the end, also when a host pauses for ever. */
ltl headIsAccepted { [] (HeadVersion == 2 -> <> (AcceptedVersion >= 2)) }
