/* Models the start, lease and release of gangs by schedulers that are fenced by
 * the version of the view.
 *
 * Two jobs each need the accelerator of both workers; the two tasks of a job
 * form a gang. A call to a worker is applied at once, or it is lost, or its
 * answer is lost, or it is delayed in the network and applied at any later time
 * (the Delayed... variables). A scheduler is paused while the search does not
 * schedule it. A call and the scheduler's handling of the answer are separate
 * steps. A worker refuses epochs older than the newest one that it has seen,
 * and refuses to prepare a task for which a scheduler has sent it a stop call.
 * It does not check whether its accelerator is free, so the schedulers alone
 * must prevent double use.
 *
 * In macros and inlines, W is a worker, E an epoch, J a job, A an attempt and V
 * a version of the view.
 */
#define JOBS 2
#define WORKERS 2
#define SCHEDULERS 2
/* The liveness properties are checked with one job fewer and one needless view
 * change fewer, to keep the state space small. */
#ifdef LIVENESS
#define MAXIMUM_VERSION 2
#endif
#ifndef MAXIMUM_VERSION
#define MAXIMUM_VERSION 3
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 1
#endif
#define NO_JOB 9

/* Rows of the jobs in the store. */
#define PENDING 0
#define RESERVED 1
#define STARTED 2
byte JobState[JOBS] = PENDING;
byte Attempt[JOBS];

/* View row in the store. The version determines which scheduler acts. */
byte StoreVersion = 1;
bool SchedulerAlive[SCHEDULERS] = true;
#define SCHEDULER_OF(V) (((V) + 1) % SCHEDULERS)

/* State of the workers. A worker has at most one task, which is identified by
 * job and attempt. */
#define PREPARED 1
#define RUNNING 2
bool WorkerAlive[WORKERS] = true;
byte Epoch[WORKERS];
byte TaskJob[WORKERS] = NO_JOB;
byte TaskAttempt[WORKERS];
byte TaskState[WORKERS];
/* Value of LeaseRenewed after a renewal. The safety properties do not use it:
 * there a lease may end at any time. */
#ifdef LIVENESS
#define RENEWAL_FLAG true
#else
#define RENEWAL_FLAG false
#endif
bool LeaseRenewed[WORKERS]; /* renewed in the current half of the lease */
byte MinimumAttempt[WORKERS * JOBS]; /* older attempts are refused */

/* The call that is delayed in the network, or 0 in DelayedCall. */
#define PREPARE 1
#define START 2
#define STOP 3
#define RENEW 4
byte DelayedCall, DelayedWorker, DelayedEpoch, DelayedJob, DelayedAttempt;

#ifndef CALL_FAULTS
#define CALL_FAULTS 1
#endif
byte CallFaultsLeft = CALL_FAULTS;
#ifndef DEATHS
#define DEATHS 1
#endif
byte CrashesLeft = DEATHS; /* of worker 0 and of the schedulers */

/* Ghost variables: only the assertions read them. */

/* Bit mask of the workers that prepared the current attempt. */
byte PreparedWorkers[JOBS];
byte NewestEpoch[WORKERS]; /* newest epoch of a call that was not refused */

#ifdef MUTANT_NO_FENCING
#define REFUSES_CALL(W, E) (!WorkerAlive[W])
#else
#define REFUSES_CALL(W, E) (!WorkerAlive[W] || (E) < Epoch[W])
#endif
#define IS_TASK(W, J, A) (TaskJob[W] == (J) && TaskAttempt[W] == (A))

inline clearTask(W) {
  TaskJob[W] = NO_JOB;
  TaskAttempt[W] = 0;
  TaskState[W] = 0;
  LeaseRenewed[W] = false
}

/* Applies a call at worker W and sets CallOk to the worker's answer. */
inline applyCall(Call, W, E, J, A) {
  CallOk = false;
  if
  :: REFUSES_CALL(W, E)
  :: else ->
     /* A call of a fenced scheduler has no effect. */
     assert(E >= NewestEpoch[W]);
     NewestEpoch[W] = E;
     Epoch[W] = E;
     if
     :: Call == PREPARE ->
        if
#ifndef MUTANT_LATE_PREPARE
        :: A < MinimumAttempt[W * JOBS + J]
#endif
        :: IS_TASK(W, J, A) -> CallOk = true
        :: else ->
           /* No two gangs use the same worker. */
           assert(TaskJob[W] == NO_JOB || TaskJob[W] == J);
           TaskJob[W] = J; TaskAttempt[W] = A; TaskState[W] = PREPARED;
           LeaseRenewed[W] = RENEWAL_FLAG;
           if
           :: A == Attempt[J] ->
              PreparedWorkers[J] = PreparedWorkers[J] | (1 << W)
           :: else
           fi;
           CallOk = true
        fi
     :: Call == START && IS_TASK(W, J, A) ->
        /* No task starts before the whole gang is prepared and the job row says
         * that it is started. */
        assert(JobState[J] == STARTED && Attempt[J] == A);
        assert(PreparedWorkers[J] == 3);
        TaskState[W] = RUNNING;
        LeaseRenewed[W] = RENEWAL_FLAG;
        CallOk = true
     :: Call == RENEW && IS_TASK(W, J, A) ->
        LeaseRenewed[W] = RENEWAL_FLAG;
        CallOk = (TaskState[W] == RUNNING)
     :: Call == STOP ->
        if
        :: IS_TASK(W, J, A) -> clearTask(W)
        :: else
        fi;
        if
        :: MinimumAttempt[W * JOBS + J] <= A ->
           MinimumAttempt[W * JOBS + J] = A + 1
        :: else
        fi;
        CallOk = true
     :: else
     fi
  fi
}

/* Makes a call from a scheduler; sets CallOk to the answer that it receives. */
inline callWorker(Call, W, E, J, A) {
  atomic {
    if
    :: applyCall(Call, W, E, J, A)
    :: CallFaultsLeft > 0 -> /* the answer is lost */
       CallFaultsLeft--;
       applyCall(Call, W, E, J, A);
       CallOk = false
    :: CallFaultsLeft > 0 -> /* the call is lost */
       CallFaultsLeft--;
       CallOk = false
    :: CallFaultsLeft > 0 && DelayedCall == 0 ->
       /* The call is delayed beyond its timeout. */
       CallFaultsLeft--;
       DelayedCall = Call; DelayedWorker = W; DelayedEpoch = E; DelayedJob = J;
       DelayedAttempt = A;
       CallOk = false
    fi
  }
}

/* Whether a transaction on condition that the view still has version V
 * commits. */
#ifdef MUTANT_NO_VIEW_CHECK
#define VIEW_ROW_MATCHES(V) true
#else
#define VIEW_ROW_MATCHES(V) (StoreVersion == (V))
#endif

proctype Scheduler(byte Me) {
  byte Version; /* version of the view for which this scheduler acts */
  byte Job, AttemptNumber;
  byte KnownJobState[JOBS];
  byte W;
  bool CallOk, AllOk;

adoptView:
  atomic { W = 0; Job = 0; AttemptNumber = 0; AllOk = false; CallOk = false };
endAwaitView:
  if
  :: atomic {
       SchedulerAlive[Me] && SCHEDULER_OF(StoreVersion) == Me ->
       /* Reads the view, then the job rows. Schedulers of older views can no
        * longer change these rows. */
       Version = StoreVersion;
       KnownJobState[0] = JobState[0];
       KnownJobState[1] = JobState[1]
     }
  :: !SchedulerAlive[Me] -> goto schedulerCrashed
  fi;
endSelectJob:
  if
  :: !SchedulerAlive[Me] -> goto schedulerCrashed
  :: SchedulerAlive[Me] && StoreVersion != Version -> goto adoptView
  :: SchedulerAlive[Me] && KnownJobState[0] != PENDING -> Job = 0; goto checkJob
  :: SchedulerAlive[Me] && KnownJobState[0] == PENDING &&
     KnownJobState[1] != PENDING ->
     Job = 1;
     goto checkJob
  :: SchedulerAlive[Me] && KnownJobState[0] == PENDING &&
     KnownJobState[1] == PENDING &&
     Attempt[0] < ATTEMPTS -> Job = 0
#ifndef LIVENESS
  :: SchedulerAlive[Me] && KnownJobState[0] == PENDING &&
     KnownJobState[1] == PENDING &&
     Attempt[1] < ATTEMPTS -> Job = 1
#endif
  fi;
  /* Reserves both workers for the job in one transaction. */
  if
  :: !SchedulerAlive[Me] -> goto schedulerCrashed
  :: atomic {
       SchedulerAlive[Me] ->
       if
       :: VIEW_ROW_MATCHES(Version) && JobState[Job] == PENDING ->
          /* A transaction of a fenced scheduler has no effect. */
          assert(Version == StoreVersion);
          JobState[Job] = RESERVED;
          KnownJobState[Job] = RESERVED;
          PreparedWorkers[Job] = 0;
          AttemptNumber = Attempt[Job]
       :: else -> goto adoptView
       fi
     }
  fi;
  W = 0; AllOk = true;
  do
  :: !SchedulerAlive[Me] -> goto schedulerCrashed
  :: SchedulerAlive[Me] && W < WORKERS ->
     callWorker(PREPARE, W, Version, Job, AttemptNumber);
     atomic { AllOk = AllOk && CallOk; CallOk = false; W++ }
  :: SchedulerAlive[Me] && W == WORKERS -> break
  od;
#ifndef MUTANT_START_UNPREPARED
  if
  :: !AllOk -> goto releaseJob
  :: AllOk
  fi;
#endif
#ifndef MUTANT_START_UNCOMMITTED
  if
  :: !SchedulerAlive[Me] -> goto schedulerCrashed
  :: atomic {
       SchedulerAlive[Me] ->
       if
       :: VIEW_ROW_MATCHES(Version) && JobState[Job] == RESERVED &&
          Attempt[Job] == AttemptNumber ->
          JobState[Job] = STARTED;
          KnownJobState[Job] = STARTED
       :: else -> goto adoptView
       fi
     }
  fi;
#endif
  W = 0; AllOk = true;
  do
  :: !SchedulerAlive[Me] -> goto schedulerCrashed
  :: SchedulerAlive[Me] && W < WORKERS ->
     callWorker(START, W, Version, Job, AttemptNumber);
     atomic { AllOk = AllOk && CallOk; CallOk = false; W++ }
  :: SchedulerAlive[Me] && W == WORKERS -> break
  od;
  if
  :: AllOk -> W = 0; AllOk = false; goto endSelectJob
  :: !AllOk -> goto releaseJob
  fi;
checkJob:
  /* Releases a reservation that an earlier view left behind, and a started gang
   * of which a task is not running. Otherwise renews the leases. */
  atomic {
    AttemptNumber = Attempt[Job]; W = 0;
    AllOk = (KnownJobState[Job] == STARTED)
  };
  if
  :: !AllOk -> goto releaseJob
  :: AllOk
  fi;
  do
  :: !SchedulerAlive[Me] -> goto schedulerCrashed
  :: SchedulerAlive[Me] && W < WORKERS ->
     /* Asks the worker for the state of its task. */
     atomic {
       if
       :: REFUSES_CALL(W, Version) -> AllOk = false
       :: else ->
          Epoch[W] = Version; NewestEpoch[W] = Version;
          AllOk = AllOk && IS_TASK(W, Job, AttemptNumber) &&
                  TaskState[W] == RUNNING
       fi;
       W++
     }
  :: SchedulerAlive[Me] && W == WORKERS -> break
  od;
  W = 0;
#ifndef MUTANT_RENEW_PARTIAL
  if
  :: !AllOk -> goto releaseJob
  :: AllOk
  fi;
#endif
  do
  :: !SchedulerAlive[Me] -> goto schedulerCrashed
  :: SchedulerAlive[Me] && W < WORKERS ->
     callWorker(RENEW, W, Version, Job, AttemptNumber);
     atomic { CallOk = false; W++ }
  :: SchedulerAlive[Me] && W == WORKERS -> break
  od;
  W = 0; AllOk = false;
  goto endSelectJob;
releaseJob:
#ifdef MUTANT_NO_RELEASE
  W = 0; AllOk = false;
  goto endSelectJob;
#endif
  /* Releases the job row only after every task of the gang was stopped or its
   * worker is known to have crashed. */
  W = 0;
  do
  :: !SchedulerAlive[Me] -> goto schedulerCrashed
  :: SchedulerAlive[Me] && StoreVersion != Version -> goto adoptView
  :: SchedulerAlive[Me] && W < WORKERS ->
#ifdef MUTANT_RELEASE_WITHOUT_STOP
     W++
#else
     callWorker(STOP, W, Version, Job, AttemptNumber);
     atomic {
       if
       :: CallOk || !WorkerAlive[W] -> W++; CallOk = false
       :: !CallOk && WorkerAlive[W] && StoreVersion != Version -> goto adoptView
       :: else
       fi
     }
#endif
  :: SchedulerAlive[Me] && W == WORKERS -> break
  od;
  if
  :: !SchedulerAlive[Me] -> goto schedulerCrashed
  :: atomic {
       SchedulerAlive[Me] ->
       if
       :: VIEW_ROW_MATCHES(Version) && JobState[Job] != PENDING &&
          Attempt[Job] == AttemptNumber ->
          JobState[Job] = PENDING;
          KnownJobState[Job] = PENDING;
          Attempt[Job]++;
          PreparedWorkers[Job] = 0;
          W = 0; AllOk = false; AttemptNumber = 0
       :: else -> goto adoptView
       fi
     }
  fi;
  goto endSelectJob;
schedulerCrashed:
  skip
}

/* Lets half of a lease pass; a task that was not renewed during it stops. For
 * the safety properties, a lease may end at any time. */
proctype LeaseClock(byte W) {
end:
  do
#ifdef LIVENESS
  :: d_step {
       TaskJob[W] != NO_JOB && LeaseRenewed[W] -> LeaseRenewed[W] = false
     }
#else
  :: d_step { TaskJob[W] != NO_JOB -> clearTask(W) }
#endif
#if defined(LIVENESS) && !defined(MUTANT_NO_LEASE)
  :: d_step {
       TaskJob[W] != NO_JOB && !LeaseRenewed[W] -> clearTask(W)
     }
#endif
  od
}

/* Delivers the delayed call at any later time. */
proctype Network() {
  bool CallOk;
end:
  do
  :: d_step {
       DelayedCall != 0 ->
       applyCall(DelayedCall, DelayedWorker, DelayedEpoch, DelayedJob,
                 DelayedAttempt);
       DelayedCall = 0; DelayedWorker = 0; DelayedEpoch = 0; DelayedJob = 0;
       DelayedAttempt = 0;
       CallOk = false
     }
  od
}

/* Changes the view, both after a crash of its scheduler and needlessly, and
 * crashes the schedulers and worker 0. */
proctype Environment() {
end:
  do
  :: StoreVersion < MAXIMUM_VERSION - 1 -> StoreVersion++
  :: d_step {
       !SchedulerAlive[SCHEDULER_OF(StoreVersion)] &&
       SchedulerAlive[SCHEDULER_OF(StoreVersion + 1)] -> StoreVersion++
     }
  :: d_step { CrashesLeft > 0 -> CrashesLeft--; SchedulerAlive[0] = false }
  :: d_step { CrashesLeft > 0 -> CrashesLeft--; SchedulerAlive[1] = false }
  :: d_step {
       CrashesLeft > 0 -> CrashesLeft--;
       WorkerAlive[0] = false;
       clearTask(0)
     }
  od
}

#ifdef LIVENESS
/* Can always take a step: time passes although nothing else happens. The
 * liveness properties are checked on infinite runs, and a run that gets stuck
 * would be finite without this process. */
bool ClockBit;
proctype IdleClock() {
end:
  do
  :: ClockBit = !ClockBit
  od
}
#endif

init {
  atomic {
#ifdef LIVENESS
    run IdleClock();
#endif
    run Network();
    run Environment();
    run LeaseClock(0);
    run LeaseClock(1);
    run Scheduler(0);
    run Scheduler(1)
  }
}

#define PARTIALLY_RUNNING \
  ((TaskState[0] == RUNNING) != (TaskState[1] == RUNNING))
/* No gang stays partially running for ever. */
ltl partialGangEnds { [] (PARTIALLY_RUNNING -> <> !PARTIALLY_RUNNING) }
/* Every reservation becomes a started gang or is released. */
ltl reservationEnds {
  [] ((JobState[0] == RESERVED -> <> (JobState[0] != RESERVED)) &&
      (JobState[1] == RESERVED -> <> (JobState[1] != RESERVED)))
}
