/* Models the owner of one shard in the platform's store: write-ahead records,
 * start calls that may be delayed, the end of a run, and takeover by a new
 * owner.
 *
 * There is one job with one task. A new owner increments the token in the owner
 * row and claims every partition with that token before it reads the runs that
 * are recorded there. A run is recorded before its start call is sent. A start
 * call may be lost, be delayed in the network and arrive at any later time (the
 * Delayed... variables), or arrive although its answer is lost. An owner is
 * paused while the search does not schedule it, and learns of a newer owner
 * only when a write or a call is refused. A worker remembers the newest token
 * and the newest run for which an owner has sent it a stop call. It forgets an
 * ended run when the owner acknowledges the end, which the owner does once the
 * end is recorded durably.
 *
 * In macros and inlines, W is a worker, T a token, R a run and P a partition.
 */
#define OWNERS 2
#define WORKERS 2
#define PARTITIONS 2
#ifndef MAXIMUM_TOKEN
#define MAXIMUM_TOKEN 3
#endif
#ifndef MAXIMUM_RUN
#define MAXIMUM_RUN 3
#endif
#define NO_RUN 0

/* State of the store. */
byte OwnerToken;
/* By partition: the only token whose owner may write it. */
byte PartitionToken[PARTITIONS];
byte RecordedRun[PARTITIONS]; /* newest recorded run of the task, or NO_RUN */
byte RecordedWorker[PARTITIONS];
bool RecordedDone[PARTITIONS];
bool JobStored;

/* State of the workers: newest token seen, newest run for which an owner has
 * sent a stop call, current run, and whether that run has ended and waits for
 * the owner's acknowledgement of its end. */
byte NewestToken[WORKERS];
byte NewestStoppedRun[WORKERS];
byte WorkerRun[WORKERS];
bool RunEnded[WORKERS];

/* The start call that is delayed in the network, or NO_RUN in DelayedRun. */
byte DelayedRun, DelayedWorker, DelayedToken;

/* Ghost variables: only the assertions read them. */
byte RunningCount; /* runs in progress on all workers */
bool TaskCompleted;
bool TaskExecuted;
bool ReportedNotRun;

#ifdef VARIANT_NO_FENCE
#define FENCED(W, T) false
#else
#define FENCED(W, T) ((T) < NewestToken[W])
#endif
#ifdef MUTANT_STOP_FORGOTTEN
#define RUN_REFUSED(W, R) false
#else
#define RUN_REFUSED(W, R) ((R) <= NewestStoppedRun[W])
#endif

/* Records token T at worker W if it is the newest. */
inline recordToken(W, T) {
  if
  :: (T) > NewestToken[W] -> NewestToken[W] = T
  :: else
  fi
}

/* Applies a start call at worker W, unless the worker refuses it. */
inline applyStart(W, R, T) {
  if
  :: FENCED(W, T) || WorkerRun[W] != NO_RUN || RUN_REFUSED(W, R)
  :: else ->
     recordToken(W, T);
     /* At most one run at a time, and none after the task has completed. */
     assert(RunningCount == 0);
     assert(!TaskCompleted);
     WorkerRun[W] = R; RunEnded[W] = false; RunningCount++; TaskExecuted = true
  fi
}

/* Delivers the delayed start call at any later time. */
active proctype Network() {
end:
  do
  :: atomic {
       DelayedRun != NO_RUN ->
       applyStart(DelayedWorker, DelayedRun, DelayedToken);
       DelayedRun = NO_RUN; DelayedWorker = 0; DelayedToken = 0
     }
  od
}

/* Ends the run of a worker. The processes are created after Network, whose _pid
 * is 0. */
active [WORKERS] proctype Worker() {
  byte W = _pid - 1;
end:
  do
  :: atomic {
       WorkerRun[W] != NO_RUN && !RunEnded[W] ->
       RunEnded[W] = true; RunningCount--; TaskCompleted = true
     }
  od
}

/* The host that accepts the job from the client and stores it. */
active proctype EntryHost() {
  atomic {
    if
    :: JobStored = true /* written; the answer arrives */
    :: JobStored = true; /* written; the answer is lost */
#ifdef MUTANT_REFUSE_AFTER_UNANSWERED_WRITE
       ReportedNotRun = true
#endif
    :: ReportedNotRun = true /* refused by the store; nothing was written */
    fi
  }
}

/* Claims partition P for the token of this owner. */
inline claimPartition() {
  atomic {
    if
    :: PartitionToken[P] < OwnToken -> PartitionToken[P] = OwnToken
    :: else -> goto stopOwning
    fi
  };
}

/* Reads the recorded run of partition P. */
inline readPartition() {
  atomic {
    if
    :: RecordedRun[P] > NewestRun ->
       NewestRun = RecordedRun[P]; Run = NewestRun; W = RecordedWorker[P]
    :: else
    fi;
    TaskDone = TaskDone || RecordedDone[P]
  };
}

active [OWNERS] proctype Owner() {
  byte OwnToken, Run, W, P, NewestRun;
  bool TaskDone, RunAbsent;
end:
  do
  :: atomic {
       OwnerToken < MAXIMUM_TOKEN -> OwnerToken++; OwnToken = OwnerToken
     };
     Run = NO_RUN; NewestRun = 0; TaskDone = false; W = 0;
     P = 0;
     do
     :: P < PARTITIONS ->
#ifdef MUTANT_PARTIAL_TAKEOVER
        if
        :: P++; goto nextPartition /* the partition is unreachable */
        :: skip
        fi;
#endif
#ifdef MUTANT_READ_BEFORE_CLAIM
        readPartition();
        claimPartition()
#else
        claimPartition();
        readPartition()
#endif
        P++;
nextPartition:
        skip
     :: else -> break
     od;
     do
     /* This owner may stop at any time, and a newer owner may exist. */
     :: goto stopOwning
     :: TaskDone -> goto stopOwning
     :: !TaskDone && Run == NO_RUN && JobStored && NewestRun < MAXIMUM_RUN ->
        atomic {
          NewestRun++; Run = NewestRun;
          if
          :: W = 0
          :: W = 1
          fi;
          if
          :: P = 0
          :: P = 1
          fi
        };
#ifndef MUTANT_NO_WRITE_AHEAD
        atomic {
          if
#ifdef MUTANT_UNCONDITIONAL_WRITE
          :: false -> goto stopOwning
#else
          :: PartitionToken[P] != OwnToken -> goto stopOwning
#endif
          :: else -> RecordedRun[P] = Run; RecordedWorker[P] = W
          fi
        };
#endif
        atomic {
          if
          :: applyStart(W, Run, OwnToken)
          :: DelayedRun == NO_RUN ->
             DelayedRun = Run; DelayedWorker = W; DelayedToken = OwnToken
          :: skip /* the call is lost */
          fi
        }
     :: !TaskDone && Run != NO_RUN ->
        /* The owner lists the runs of the worker: the run is in progress, has
         * ended, or is unknown to the worker. */
        atomic {
          RunAbsent = false;
          if
          :: FENCED(W, OwnToken) -> goto stopOwning
          :: else -> recordToken(W, OwnToken); RunAbsent = (WorkerRun[W] != Run)
          fi
        };
        if
        :: RunAbsent ->
           /* The start call may still arrive. A stop call makes the worker
            * refuse this run number from now on. */
           atomic {
             if
             :: FENCED(W, OwnToken) -> goto stopOwning
             :: else ->
                if
                :: Run > NewestStoppedRun[W] -> NewestStoppedRun[W] = Run
                :: else
                fi;
                if
                :: WorkerRun[W] != Run -> Run = NO_RUN
                :: else
                fi
             fi
           }
        :: else ->
           if
           :: RunEnded[W] && WorkerRun[W] == Run ->
#ifdef MUTANT_ACK_BEFORE_DURABLE
              atomic { WorkerRun[W] = NO_RUN; RunEnded[W] = false };
#endif
              atomic {
                if
                :: PartitionToken[0] != OwnToken -> goto stopOwning
                :: else -> RecordedDone[0] = true; TaskDone = true
                fi
              };
#ifndef MUTANT_ACK_BEFORE_DURABLE
              atomic { WorkerRun[W] = NO_RUN; RunEnded[W] = false }
#endif
           :: else
           fi
        fi
     od;
stopOwning:
     skip
  od
}

/* Checks that no job runs whose submission was reported as not run. */
active proctype RefusalCheck() {
end:
  do
  :: atomic { ReportedNotRun && TaskExecuted -> assert(false) }
  od
}
