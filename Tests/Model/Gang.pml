/* Start, lease and release of gangs by schedulers that are fenced by the view.
 *
 * Two jobs each need an accelerator on both workers. A call to a worker is
 * applied at once, or it is lost, or its answer is lost, or it stays in the
 * network (Late) and is applied at any later time. A scheduler pauses when the
 * search does not schedule it. Worker calls and answers are separate steps. The
 * worker refuses epochs older than the newest that it has seen, and refuses to
 * prepare a task that it was told to stop. It does not check whether its
 * accelerator is free.
 */
#define JOBS 2
#define WORKERS 2
#define SCHEDULERS 2
/* The liveness properties are checked with one job and one wrong view change
 * less, to keep the search small. */
#ifdef LIVENESS
#define MAXIMUM_VERSION 2
#endif
#ifndef MAXIMUM_VERSION
#define MAXIMUM_VERSION 3
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 1
#endif
#define NOBODY 9

/* Job row. */
#define PENDING 0
#define RESERVED 1
#define STARTED 2
byte JobState[JOBS] = PENDING;
byte Attempt[JOBS];

/* View row; its scheduler is (StoreVersion + 1) % 2. */
byte StoreVersion = 1;
bool SchedulerAlive[SCHEDULERS] = true;
#define SCHEDULER_OF(V) (((V) + 1) % SCHEDULERS)

/* Worker: one task, identified by job and attempt. */
#define PREPARED 1
#define RUNNING 2
bool WorkerAlive[WORKERS] = true;
byte Epoch[WORKERS];
byte TaskJob[WORKERS] = NOBODY;
byte TaskAttempt[WORKERS];
byte TaskState[WORKERS];
#ifdef LIVENESS
#define RENEWAL true
#else
#define RENEWAL false
#endif
bool Renewed[WORKERS]; /* renewed since the last half of the lease */
byte StoppedAttempt[WORKERS * JOBS]; /* attempts below this are refused */

/* A call that stays in the network. */
#define PREPARE 1
#define START 2
#define STOP 3
#define RENEW 4
byte LateCall, LateWorker, LateEpoch, LateJob, LateAttempt;

#ifndef CALL_FAULTS
#define CALL_FAULTS 1
#endif
byte CallFaults = CALL_FAULTS;
#ifndef DEATHS
#define DEATHS 1
#endif
byte Deaths = DEATHS; /* of a worker or of a scheduler */

/* Ghost variables. */
byte Prepared[JOBS]; /* set of workers that prepared the current attempt */
byte Newest[WORKERS];

#ifdef MUTANT_NO_FENCING
#define REFUSES(W, E) (!WorkerAlive[W])
#else
#define REFUSES(W, E) (!WorkerAlive[W] || (E) < Epoch[W])
#endif
#define IS_TASK(W, J, A) (TaskJob[W] == (J) && TaskAttempt[W] == (A))

inline clearTask(W) {
  TaskJob[W] = NOBODY;
  TaskAttempt[W] = 0;
  TaskState[W] = 0;
  Renewed[W] = false
}

/* Effect of one call at worker W; sets Done to the worker's answer. */
inline applyCall(Call, W, E, J, A) {
  Done = false;
  if
  :: REFUSES(W, E)
  :: else ->
     /* A fenced scheduler's call has no effect. */
     assert(E >= Newest[W]);
     Newest[W] = E;
     Epoch[W] = E;
     if
     :: Call == PREPARE ->
        if
#ifndef MUTANT_LATE_PREPARE
        :: A < StoppedAttempt[W * JOBS + J]
#endif
        :: IS_TASK(W, J, A) -> Done = true
        :: else ->
           /* No two gangs hold the same worker. */
           assert(TaskJob[W] == NOBODY || TaskJob[W] == J);
           TaskJob[W] = J; TaskAttempt[W] = A; TaskState[W] = PREPARED;
           Renewed[W] = RENEWAL;
           if
           :: A == Attempt[J] -> Prepared[J] = Prepared[J] | (1 << W)
           :: else
           fi;
           Done = true
        fi
     :: Call == START && IS_TASK(W, J, A) ->
        /* No start before the whole gang is prepared and the row committed. */
        assert(JobState[J] == STARTED && Attempt[J] == A);
        assert(Prepared[J] == 3);
        TaskState[W] = RUNNING;
        Renewed[W] = RENEWAL;
        Done = true
     :: Call == RENEW && IS_TASK(W, J, A) ->
        Renewed[W] = RENEWAL;
        Done = (TaskState[W] == RUNNING)
     :: Call == STOP ->
        if
        :: IS_TASK(W, J, A) -> clearTask(W)
        :: else
        fi;
        if
        :: StoppedAttempt[W * JOBS + J] <= A ->
           StoppedAttempt[W * JOBS + J] = A + 1
        :: else
        fi;
        Done = true
     :: else
     fi
  fi
}

/* One call of a scheduler; Done is the answer that it receives. */
inline call(Call, W, E, J, A) {
  atomic {
    if
    :: applyCall(Call, W, E, J, A)
    :: CallFaults > 0 -> /* the answer is lost */
       CallFaults--;
       applyCall(Call, W, E, J, A);
       Done = false
    :: CallFaults > 0 -> /* lost */
       CallFaults--;
       Done = false
    :: CallFaults > 0 && LateCall == 0 -> /* delayed beyond the timeout */
       CallFaults--;
       LateCall = Call; LateWorker = W; LateEpoch = E; LateJob = J;
       LateAttempt = A;
       Done = false
    fi
  }
}

/* Conditional transaction that checks the view row. */
#ifdef MUTANT_NO_VIEW_CHECK
#define COMMITS(V) true
#else
#define COMMITS(V) (StoreVersion == (V))
#endif

proctype Scheduler(byte Me) {
  byte Version; /* view that this scheduler acts for */
  byte Job, Number;
  byte State[JOBS];
  byte W;
  bool Done, All;

adopt:
  atomic { W = 0; Job = 0; Number = 0; All = false; Done = false };
endAdopt:
  if
  :: atomic {
       SchedulerAlive[Me] && SCHEDULER_OF(StoreVersion) == Me ->
       /* Reads the view and then the rows that no other view can change. */
       Version = StoreVersion;
       State[0] = JobState[0];
       State[1] = JobState[1]
     }
  :: !SchedulerAlive[Me] -> goto dead
  fi;
endDecide:
  if
  :: !SchedulerAlive[Me] -> goto dead
  :: SchedulerAlive[Me] && StoreVersion != Version -> goto adopt
  :: SchedulerAlive[Me] && State[0] != PENDING -> Job = 0; goto check
  :: SchedulerAlive[Me] && State[0] == PENDING && State[1] != PENDING ->
     Job = 1;
     goto check
  :: SchedulerAlive[Me] && State[0] == PENDING && State[1] == PENDING &&
     Attempt[0] < ATTEMPTS -> Job = 0
#ifndef LIVENESS
  :: SchedulerAlive[Me] && State[0] == PENDING && State[1] == PENDING &&
     Attempt[1] < ATTEMPTS -> Job = 1
#endif
  fi;
  /* Reservation: the whole placement in one transaction. */
  if
  :: !SchedulerAlive[Me] -> goto dead
  :: atomic {
       SchedulerAlive[Me] ->
       if
       :: COMMITS(Version) && JobState[Job] == PENDING ->
          /* A fenced scheduler's transaction has no effect. */
          assert(Version == StoreVersion);
          JobState[Job] = RESERVED;
          State[Job] = RESERVED;
          Prepared[Job] = 0;
          Number = Attempt[Job]
       :: else -> goto adopt
       fi
     }
  fi;
  W = 0; All = true;
  do
  :: !SchedulerAlive[Me] -> goto dead
  :: SchedulerAlive[Me] && W < WORKERS ->
     call(PREPARE, W, Version, Job, Number);
     atomic { All = All && Done; Done = false; W++ }
  :: SchedulerAlive[Me] && W == WORKERS -> break
  od;
#ifndef MUTANT_START_UNPREPARED
  if
  :: !All -> goto release
  :: All
  fi;
#endif
#ifndef MUTANT_START_UNCOMMITTED
  if
  :: !SchedulerAlive[Me] -> goto dead
  :: atomic {
       SchedulerAlive[Me] ->
       if
       :: COMMITS(Version) && JobState[Job] == RESERVED &&
          Attempt[Job] == Number ->
          JobState[Job] = STARTED;
          State[Job] = STARTED
       :: else -> goto adopt
       fi
     }
  fi;
#endif
  W = 0; All = true;
  do
  :: !SchedulerAlive[Me] -> goto dead
  :: SchedulerAlive[Me] && W < WORKERS ->
     call(START, W, Version, Job, Number);
     atomic { All = All && Done; Done = false; W++ }
  :: SchedulerAlive[Me] && W == WORKERS -> break
  od;
  if
  :: All -> W = 0; All = false; goto endDecide
  :: !All -> goto release
  fi;
check:
  /* A reservation of an earlier view is released; a started gang goes on only
   * while every member runs. */
  atomic { Number = Attempt[Job]; W = 0; All = (State[Job] == STARTED) };
  if
  :: !All -> goto release
  :: All
  fi;
  do
  :: !SchedulerAlive[Me] -> goto dead
  :: SchedulerAlive[Me] && W < WORKERS ->
     /* Status call. */
     atomic {
       if
       :: REFUSES(W, Version) -> All = false
       :: else ->
          Epoch[W] = Version; Newest[W] = Version;
          All = All && IS_TASK(W, Job, Number) && TaskState[W] == RUNNING
       fi;
       W++
     }
  :: SchedulerAlive[Me] && W == WORKERS -> break
  od;
  W = 0;
#ifndef MUTANT_RENEW_PARTIAL
  if
  :: !All -> goto release
  :: All
  fi;
#endif
  do
  :: !SchedulerAlive[Me] -> goto dead
  :: SchedulerAlive[Me] && W < WORKERS ->
     call(RENEW, W, Version, Job, Number);
     atomic { Done = false; W++ }
  :: SchedulerAlive[Me] && W == WORKERS -> break
  od;
  W = 0; All = false;
  goto endDecide;
release:
#ifdef MUTANT_NO_RELEASE
  W = 0; All = false;
  goto endDecide;
#endif
  /* Every member is stopped, or known dead, before the row is released. */
  W = 0;
  do
  :: !SchedulerAlive[Me] -> goto dead
  :: SchedulerAlive[Me] && StoreVersion != Version -> goto adopt
  :: SchedulerAlive[Me] && W < WORKERS ->
#ifdef MUTANT_RELEASE_WITHOUT_STOP
     W++
#else
     call(STOP, W, Version, Job, Number);
     atomic {
       if
       :: Done || !WorkerAlive[W] -> W++; Done = false
       :: !Done && WorkerAlive[W] && StoreVersion != Version -> goto adopt
       :: else
       fi
     }
#endif
  :: SchedulerAlive[Me] && W == WORKERS -> break
  od;
  if
  :: !SchedulerAlive[Me] -> goto dead
  :: atomic {
       SchedulerAlive[Me] ->
       if
       :: COMMITS(Version) && JobState[Job] != PENDING &&
          Attempt[Job] == Number ->
          JobState[Job] = PENDING;
          State[Job] = PENDING;
          Attempt[Job]++;
          Prepared[Job] = 0;
          W = 0; All = false; Number = 0
       :: else -> goto adopt
       fi
     }
  fi;
  goto endDecide;
dead:
  skip
}

/* Half of a lease passes; a task that was not renewed in it stops. For the
 * safety properties a lease may end at any time. */
proctype LeaseClock(byte W) {
end:
  do
#ifdef LIVENESS
  :: d_step {
       TaskJob[W] != NOBODY && Renewed[W] -> Renewed[W] = false
     }
#else
  :: d_step { TaskJob[W] != NOBODY -> clearTask(W) }
#endif
#if defined(LIVENESS) && !defined(MUTANT_NO_LEASE)
  :: d_step {
       TaskJob[W] != NOBODY && !Renewed[W] -> clearTask(W)
     }
#endif
  od
}

proctype Network() {
  bool Done;
end:
  do
  :: d_step {
       LateCall != 0 ->
       applyCall(LateCall, LateWorker, LateEpoch, LateJob, LateAttempt);
       LateCall = 0; LateWorker = 0; LateEpoch = 0; LateJob = 0;
       LateAttempt = 0;
       Done = false
     }
  od
}

/* View changes, rightly or wrongly, and deaths. */
proctype Environment() {
end:
  do
  :: StoreVersion < MAXIMUM_VERSION - 1 -> StoreVersion++
  :: d_step {
       !SchedulerAlive[SCHEDULER_OF(StoreVersion)] &&
       SchedulerAlive[SCHEDULER_OF(StoreVersion + 1)] -> StoreVersion++
     }
  :: d_step { Deaths > 0 -> Deaths--; SchedulerAlive[0] = false }
  :: d_step { Deaths > 0 -> Deaths--; SchedulerAlive[1] = false }
  :: d_step {
       Deaths > 0 -> Deaths--;
       WorkerAlive[0] = false;
       clearTask(0)
     }
  od
}

#ifdef LIVENESS
/* Time passes although nothing else happens. */
bool Time;
proctype Idle() {
end:
  do
  :: Time = !Time
  od
}
#endif

init {
  atomic {
#ifdef LIVENESS
    run Idle();
#endif
    run Network();
    run Environment();
    run LeaseClock(0);
    run LeaseClock(1);
    run Scheduler(0);
    run Scheduler(1)
  }
}

#define PARTIAL ((TaskState[0] == RUNNING) != (TaskState[1] == RUNNING))
ltl partial { [] (PARTIAL -> <> !PARTIAL) }
ltl reserved {
  [] ((JobState[0] == RESERVED -> <> (JobState[0] != RESERVED)) &&
      (JobState[1] == RESERVED -> <> (JobState[1] != RESERVED)))
}
