/* Acceptance of configuration versions and the ServingGate.
 *
 * A tick is one second of every host's monotonic clock, also of a paused one. A
 * host increments its heartbeat counter in the store, then reads the
 * configuration head and the view, and counts the age of that confirmation from
 * the time at which it sent the counter. Between its steps it may pause for any
 * time. The clock runs freely, so a tick may also come much too early for a
 * host, which models slow hosts and slow calls.
 */
#define HOSTS 3
#define ALL 7
#ifndef MAXIMUM_VERSION
#define MAXIMUM_VERSION 2
#endif
#define FRESH 2  /* serve only with a confirmation of at most this age */
#define SILENT 3 /* remove a member whose counter is unchanged for this long */
#define OLD 3    /* ages and silences above this are not distinguished */
#define BIT(N) (1 << (N))

/* Store. */
bool StoreUp = true;
byte Outages = 1;
byte Head = 1;
byte Members = ALL;
byte Winners[MAXIMUM_VERSION + 1]; /* operators told that they won a version */

/* Hosts. */
byte Known[HOSTS] = 1;
byte Age[HOSTS];    /* of the newest confirmation */
byte Pending; /* of Host(2): time since its counter write was sent */
byte Silence; /* of Host(2): time since its counter changed in the store */
#ifdef PEERS
byte Beat[HOSTS]; /* time since the newest counter write that took effect */
#endif
bool Frozen[HOSTS];  /* stays paused until it wakes */
byte Freezes = 1;

byte Accepted = 1;

#define IS_MEMBER(H) ((Members & BIT(H)) != 0)
#define COUNT(M) (((M) & 1) + (((M) >> 1) & 1) + (((M) >> 2) & 1))
/* Members that are running, as peers see them. */
#define RUNNING (Members & ((1 - Frozen[0]) + 2 * (1 - Frozen[1]) + \
                            4 * (1 - Frozen[2])))
#define MAJORITY(M) (2 * COUNT(M) > COUNT(Members))

inline older(X) {
  if
  :: X < OLD -> X++
  :: else
  fi
}

proctype Clock() {
  do
  :: d_step {
#ifdef MUTANT_CLOCK_STOPS
       if
       :: !Frozen[0] -> older(Age[0])
       :: else
       fi;
       if
       :: !Frozen[1] -> older(Age[1])
       :: else
       fi;
       if
       :: !Frozen[2] -> older(Age[2])
       :: else
       fi;
#elif !defined(FROZEN_FOR_EVER)
       /* Acceptance does not depend on the confirmations' ages. */
       older(Age[0]); older(Age[1]); older(Age[2]);
#endif
       older(Pending);
#ifdef PEERS
       older(Beat[0]); older(Beat[1]); older(Beat[2]);
#endif
       /* Nobody's counter can change in an outage. */
       if
#ifdef VARIANT_SILENCE_IN_OUTAGE
       :: true ->
#else
       :: StoreUp ->
#endif
          older(Silence)
#ifndef VARIANT_SILENCE_IN_OUTAGE
       :: else -> Silence = 0
#endif
       fi
     }
  od
}

inline adopt(H, V) {
#ifdef MUTANT_VERSION_GOES_BACK
  Known[H] = V
#else
  assert(V <= Head);
  if
  :: V > Known[H] -> Known[H] = V
  :: else
  fi
#endif
}

/* Heartbeat, poll of the head and the view, confirmation. */
proctype Host(byte H) {
  byte Read;
  bool WasMember;
  byte Before;
  do
  :: d_step { !Frozen[H] -> Pending = 0 };
     if
     :: d_step {
          !Frozen[H] && StoreUp ->
          Silence = 0;
#ifdef PEERS
          Beat[H] = Pending
#endif
        };
        if
        :: d_step {
             !Frozen[H] && StoreUp ->
             Read = Head;
             WasMember = IS_MEMBER(H);
#ifdef MUTANT_AGE_FROM_READ
             Pending = 0
#endif
           };
           if
           :: d_step {
                !Frozen[H] && WasMember ->
                Before = Known[H];
                adopt(H, Read);
                /* Versions never go back. */
                assert(Known[H] >= Before);
#ifdef MUTANT_AGE_FROM_ANSWER
                Age[H] = 0;
#else
                Age[H] = Pending;
#endif
                Read = 0; WasMember = false; Before = 0; Pending = OLD
              }
           :: d_step {
                /* Joins again; serves only after another confirmation. */
                !Frozen[H] && !WasMember && StoreUp ->
                Members = Members | BIT(H);
#ifdef MUTANT_SERVE_ON_JOIN
                Known[H] = (Read > Known[H] -> Read : Known[H]);
                Age[H] = Pending;
#endif
                Read = 0
              }
           fi
        :: d_step { !StoreUp -> Read = 0 }
        fi
     :: !StoreUp
     fi
  od
}

/* The same in one step, for a host that pauses only between its rounds and is
 * never removed. It keeps the search small; Host(2) pauses at every step. */
proctype RoundHost(byte H) {
  do
  :: d_step {
       !Frozen[H] && StoreUp ->
#ifdef PEERS
       Beat[H] = 0;
#endif
       adopt(H, Head);
       Age[H] = 0
     }
  od
}

/* A peer's confirmation, whose age the receiver takes over.
 *
 * LIMIT_PEER_AGE is the rule of the design page: only the age counts. It does
 * not hold, because a host whose own counter does not reach the store is
 * removed while it still serves. The rule modelled otherwise: the receiver's
 * newest counter write that took effect counts too, and a host whose
 * confirmation has expired must read the store itself.
 */
#ifdef PEERS
inline hear(H, P) {
  d_step {
    !Frozen[H] && !Frozen[P] &&
#ifdef LIMIT_PEER_AGE
    Age[P] < Age[H] ->
    adopt(H, Known[P]);
    Age[H] = Age[P]
#else
    Age[H] <= FRESH && Age[P] < Age[H] && Beat[H] < Age[H] ->
    adopt(H, Known[P]);
    Age[H] = (Age[P] > Beat[H] -> Age[P] : Beat[H])
#endif
  }
}
proctype Peers() {
end:
  do
  :: hear(0, 1)
  :: hear(0, 2)
  :: hear(1, 0)
  :: hear(1, 2)
  :: hear(2, 0)
  :: hear(2, 1)
  od
}
#endif

/* Takes the head to a running host, by push or by its poll. */
proctype Push(byte H) {
end:
  do
  :: d_step { !Frozen[H] && Known[H] < Head -> adopt(H, Head) }
  od
}

/* Removal of a silent member by a running member with a majority. */
proctype Removal(byte H) {
end:
  do
  :: d_step {
       StoreUp && IS_MEMBER(H) && Silence >= SILENT &&
       MAJORITY(RUNNING & (ALL - BIT(H))) ->
#ifndef MUTANT_NO_REMOVAL
       Members = Members & (ALL - BIT(H))
#endif
     }
  od
}

#define IN_FORCE(H) (!IS_MEMBER(H) || Known[H] >= Head)
proctype Acceptance() {
end:
  do
  :: d_step {
       Accepted < Head &&
#ifndef MUTANT_ACCEPT_WITHOUT_WAITING
       IN_FORCE(0) && IN_FORCE(1) && IN_FORCE(2) &&
#endif
       true -> Accepted = Head
     }
  od
}

/* An operator's change by conditional write; an answer may be lost, and the
 * repeat finds the own write id. */
proctype Operator(byte Me) {
  byte Expected;
  byte Tries = 1;
  do
  :: d_step { Tries > 0 && Head < MAXIMUM_VERSION ->
       Tries--; Expected = Head };
     if
     :: d_step {
          StoreUp ->
          if
#ifdef MUTANT_UNCONDITIONAL_WRITE
          :: true ->
#else
          :: Head == Expected ->
#endif
             Head = Expected + 1;
             Winners[Expected + 1]++;
             /* One winner for each version. */
             assert(Winners[Expected + 1] <= 1)
#ifndef MUTANT_UNCONDITIONAL_WRITE
          :: else /* CONFLICT */
#endif
          fi;
          Expected = 0
        }
     fi
  :: Tries == 0 || Head == MAXIMUM_VERSION -> break
  od
}

/* Whether host H serves now: a fresh confirmation, or contact in a total
 * outage with a majority none of whom has a fresh one. */
#define SERVES_FRESH(H) (Age[H] <= FRESH)
#ifdef MUTANT_OUTAGE_WITHOUT_CONTACT
#define AGREES(H, P) true
#else
#define AGREES(H, P) (!Frozen[P] && Age[P] > FRESH && Known[P] == Known[H] && \
                      IS_MEMBER(P))
#endif
#define SERVES_OUTAGE(H) (Age[H] > FRESH && IS_MEMBER(H) && \
  (AGREES(H, ((H) + 1) % HOSTS) || AGREES(H, ((H) + 2) % HOSTS)))
#define SERVES(H) (!Frozen[H] && (SERVES_FRESH(H) || SERVES_OUTAGE(H)))

/* Serving needs no state of its own: it is checked in every state. */
proctype Serving() {
end:
  do
  :: d_step {
       (SERVES(0) && Known[0] < Accepted) ||
       (SERVES(1) && Known[1] < Accepted) ||
       (SERVES(2) && Known[2] < Accepted) ->
       assert(false)
     }
  od
}

proctype Environment() {
end:
  do
  :: d_step { Freezes > 0 -> Freezes--; Frozen[2] = true }
#ifndef FROZEN_FOR_EVER
  :: d_step { Frozen[2] -> Frozen[2] = false }
#endif
  :: d_step { Outages > 0 && StoreUp -> Outages--; StoreUp = false }
  :: d_step { !StoreUp -> StoreUp = true }
  od
}

init {
  atomic {
    run Clock();
    run Environment();
    run Acceptance();
#ifndef FROZEN_FOR_EVER
    run Serving();
#endif
#ifdef PEERS
    run Peers();
#endif
    run RoundHost(0); run RoundHost(1); run Host(2);
    run Push(0); run Push(1); run Push(2);
    run Removal(2);
    run Operator(0); run Operator(1)
  }
}

ltl accepted { [] (Head == 2 -> <> (Accepted >= 2)) }
