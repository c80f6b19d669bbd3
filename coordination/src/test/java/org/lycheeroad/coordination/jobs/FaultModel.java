package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.lycheeroad.coordination.jobs.JobScheduler.Unsaved;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkerRuns;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;

/**
 * Plays a store, workers and a sequence of owners in virtual time, with seeded faults: orders that
 * are lost or carried out late, answers that are lost, owners that are replaced at any point, and
 * old owners that still have orders on the way.
 */
final class FaultModel {
    private static final long HOLD_MS = 6_000;
    private static final long LAPSE_MS = 6_600;
    private static final long STEP_MS = 20;

    /** A defect that is built in to show that the checks find it. */
    enum Defect {
        NONE,
        /** Runs start before their records are saved. */
        START_UNRECORDED,
        /** Workers may forget ends that are not saved. */
        OBSERVE_UNSAVED,
        /** Runs on silent workers are given up before their leases end. */
        LAPSE_EARLY
    }

    /** One worker as it really is. */
    private static final class RealWorker {
        private final Map<TaskRef, RunRef> mRunning = new LinkedHashMap<>();
        private final Map<TaskRef, Long> mEndsAt = new HashMap<>();
        private final Map<TaskRef, Integer> mHighest = new HashMap<>();
        private final List<EndedRun> mEnds = new ArrayList<>();
        private long mEndNumber;
        private long mLapsedEnd;
        private long mFence;
        private long mLeaseUntil;
        private long mCutUntil;
    }

    /** Something that happens at a time. */
    private record Event(long at, long order, Runnable action) {}

    private final Random mRandom;
    private final Defect mDefect;
    private final Map<WorkerId, RealWorker> mWorkers = new LinkedHashMap<>();
    private final Map<WorkerId, Long> mLapsesAt = new HashMap<>();
    private final Map<JobId, JobRecord> mAccepted = new LinkedHashMap<>();
    private final Map<JobId, ProgressRecord> mSaved = new HashMap<>();
    private final Set<TaskRef> mNoted = new HashSet<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private final List<String> mBroken = new ArrayList<>();
    private long mOrder;
    private long mNow = 100_000;
    private long mEpoch;
    private JobScheduler mScheduler;

    FaultModel(long seed, int workers, Defect defect) {
        mRandom = new Random(seed);
        mDefect = defect;
        for (int i = 0; i < workers; i++) {
            mWorkers.put(new WorkerId("w" + i), new RealWorker());
        }
    }

    /** Runs jobs under faults, then without faults until all have ended. */
    List<String> run(int jobs, long faultyMs) {
        newOwner();
        long end = mNow + faultyMs;
        int submitted = 0;
        while (mNow < end) {
            if (submitted < jobs && mRandom.nextInt(10) == 0) {
                submit(submitted++);
            }
            if (mRandom.nextInt(150) == 0) {
                newOwner();
            }
            if (mRandom.nextInt(100) == 0) {
                List<RealWorker> all = List.copyOf(mWorkers.values());
                all.get(mRandom.nextInt(all.size())).mCutUntil = mNow + mRandom.nextInt(9_000);
            }
            step(true);
        }
        for (int i = 0; i < 6_000 && !allEnded(); i++) {
            step(false);
        }
        if (!allEnded()) {
            mBroken.add("accepted jobs have not ended");
        }
        return mBroken;
    }

    private boolean allEnded() {
        for (JobId id : mAccepted.keySet()) {
            ProgressRecord saved = mSaved.get(id);
            if (saved == null || !saved.state().isEnded()) {
                return false;
            }
        }
        return true;
    }

    private void submit(int number) {
        JobId id = new JobId(String.format("%016x", number));
        boolean gang = mRandom.nextBoolean();
        int count = 1 + mRandom.nextInt(3);
        long estimate = 100L + mRandom.nextInt(2_000);
        JobPlan plan =
                new JobPlan(
                        "spec",
                        List.of(
                                gang
                                        ? JobSchedulerFixture.gang(count, 4, estimate, false)
                                        : JobSchedulerFixture.tasks(count, 4, estimate)),
                        0,
                        0,
                        0);
        JobRecord record =
                new JobRecord(JobSchedulerFixture.BULK, JobSchedulerFixture.TEAM, plan, mNow);
        mAccepted.put(id, record);
        mScheduler.onJob(id, record, null, 0, mNow);
    }

    /** Replaces the owner; orders of the old one may still be on their way. */
    private void newOwner() {
        mEpoch++;
        mScheduler = new JobScheduler(JobSchedulerFixture.SETTINGS);
        mScheduler.onConfig(JobSchedulerFixture.config());
        mAccepted.forEach((id, record) -> mScheduler.onJob(id, record, mSaved.get(id), 0, mNow));
        for (WorkerId id : mWorkers.keySet()) {
            mScheduler.onWorker(JobSchedulerFixture.entry(id.value(), "r1", false), mNow);
            mLapsesAt.put(id, mNow + (mDefect == Defect.LAPSE_EARLY ? 500 : LAPSE_MS));
        }
    }

    private void step(boolean faults) {
        mNow += STEP_MS;
        while (!mEvents.isEmpty() && mEvents.peek().at <= mNow) {
            mEvents.poll().action.run();
        }
        mWorkers.forEach(this::endRuns);
        for (WorkerId id : mWorkers.keySet()) {
            look(id, faults);
        }
        mScheduler.plan(mNow, mNow);
        save(faults);
        for (JobAction action : mScheduler.takeActions()) {
            send(action, faults);
        }
    }

    private void save(boolean faults) {
        JobScheduler scheduler = mScheduler;
        long epoch = mEpoch;
        for (Unsaved unsaved : scheduler.takeUnsaved()) {
            if (mDefect == Defect.START_UNRECORDED) {
                scheduler.onSaved(unsaved.job(), unsaved.version(), mNow);
            }
            at(
                    mNow + (faults ? mRandom.nextInt(150) : 0),
                    () -> {
                        // The store refuses writes of earlier owners.
                        if (mEpoch == epoch && isNewer(unsaved)) {
                            mSaved.put(unsaved.job(), unsaved.progress());
                            mVersions.put(unsaved.job(), unsaved.version());
                            scheduler.onSaved(unsaved.job(), unsaved.version(), mNow);
                        }
                    });
        }
    }

    private final Map<JobId, Long> mVersions = new HashMap<>();
    private long mVersionsEpoch;

    /** Commits of one owner are made in order. */
    private boolean isNewer(Unsaved unsaved) {
        if (mVersionsEpoch != mEpoch) {
            mVersionsEpoch = mEpoch;
            mVersions.clear();
        }
        return unsaved.version() > mVersions.getOrDefault(unsaved.job(), -1L);
    }

    private void look(WorkerId id, boolean faults) {
        RealWorker worker = mWorkers.get(id);
        boolean cut = faults && mNow < worker.mCutUntil;
        if (cut) {
            mScheduler.onWorkerSilent(id);
        }
        if (cut && mNow > mLapsesAt.get(id) && mScheduler.hasRuns(id)) {
            mScheduler.onLeaseLapsed(id, mNow);
        }
        if (cut || !mScheduler.needsLook(id)) {
            return;
        }
        worker.mFence = Math.max(worker.mFence, mEpoch);
        long observed =
                mDefect == Defect.OBSERVE_UNSAVED ? worker.mEndNumber : mScheduler.observed(id);
        worker.mEnds.removeIf(
                end -> {
                    boolean noted = end.sequence() <= observed;
                    // An end that was listed before its worker's lease lapsed does not count.
                    if (noted
                            && end.outcome() == RunOutcome.DONE
                            && end.sequence() > worker.mLapsedEnd) {
                        mNoted.add(end.run().task());
                    }
                    return noted;
                });
        worker.mLeaseUntil = mNow + HOLD_MS;
        mLapsesAt.put(id, mNow + (mDefect == Defect.LAPSE_EARLY ? 500 : LAPSE_MS));
        List<ActiveRun> running = new ArrayList<>();
        worker.mRunning.values().forEach(run -> running.add(new ActiveRun(run, "", 95, 0)));
        WorkerRuns runs =
                new WorkerRuns(mNow, JobSchedulerFixture.BORN, running, List.copyOf(worker.mEnds));
        mScheduler.onRuns(id, runs, mNow, mNow);
    }

    private void send(JobAction action, boolean faults) {
        RealWorker worker = mWorkers.get(action.worker());
        long epoch = mEpoch;
        JobScheduler scheduler = mScheduler;
        long expires = mNow + HOLD_MS;
        mLapsesAt.put(action.worker(), mNow + (mDefect == Defect.LAPSE_EARLY ? 500 : LAPSE_MS));
        int luck = faults ? mRandom.nextInt(20) : 10;
        boolean late = luck == 0;
        boolean lost = luck == 1;
        long at = late ? mNow + 2_000 + mRandom.nextInt(10_000) : mNow + mRandom.nextInt(60);
        if (!lost) {
            at(
                    at,
                    () -> {
                        OrderAnswer answer = apply(worker, action, epoch, expires);
                        if (!late && luck != 2 && mNow >= worker.mCutUntil) {
                            answer(scheduler, action, answer);
                        }
                    });
        }
        if (late || lost || luck == 2 || mNow < worker.mCutUntil) {
            at(mNow + 500, () -> answer(scheduler, action, OrderAnswer.UNKNOWN));
        }
    }

    private void answer(JobScheduler scheduler, JobAction action, OrderAnswer answer) {
        if (action instanceof JobAction.Start) {
            scheduler.onStartAnswer(action.worker(), action.run(), answer, mNow);
        } else {
            scheduler.onStopAnswer(action.worker(), action.run(), answer, mNow);
        }
    }

    private OrderAnswer apply(RealWorker worker, JobAction action, long epoch, long expires) {
        RunRef run = action.run();
        if (epoch < worker.mFence) {
            return OrderAnswer.FENCED;
        }
        worker.mFence = epoch;
        if (action instanceof JobAction.Stop) {
            worker.mHighest.merge(run.task(), run.attempt(), Math::max);
            if (run.equals(worker.mRunning.get(run.task()))) {
                end(worker, run, RunOutcome.STOPPED);
            }
            return OrderAnswer.ACCEPTED;
        }
        if (run.equals(worker.mRunning.get(run.task()))) {
            return OrderAnswer.ACCEPTED;
        }
        if (run.attempt() <= worker.mHighest.getOrDefault(run.task(), 0)) {
            return OrderAnswer.OUTDATED;
        }
        if (expires <= mNow) {
            return OrderAnswer.EXPIRED;
        }
        checkStart(run);
        worker.mLeaseUntil = Math.max(worker.mLeaseUntil, expires);
        worker.mHighest.put(run.task(), run.attempt());
        worker.mRunning.put(run.task(), run);
        worker.mEndsAt.put(run.task(), mNow + 50 + mRandom.nextInt(3_000));
        return OrderAnswer.ACCEPTED;
    }

    private void checkStart(RunRef run) {
        for (Map.Entry<WorkerId, RealWorker> entry : mWorkers.entrySet()) {
            if (entry.getValue().mRunning.containsKey(run.task())) {
                mBroken.add(
                        run
                                + " starts while "
                                + entry.getValue().mRunning.get(run.task())
                                + " runs on "
                                + entry.getKey());
            }
        }
        if (mNoted.contains(run.task())) {
            mBroken.add(run + " starts after its task's end was noted");
        }
    }

    private void endRuns(WorkerId id, RealWorker worker) {
        if (mNow > worker.mLeaseUntil) {
            worker.mLapsedEnd = worker.mEndNumber;
        }
        for (RunRef run : List.copyOf(worker.mRunning.values())) {
            if (!run.equals(worker.mRunning.get(run.task()))) {
                continue;
            }
            if (mNow > worker.mLeaseUntil) {
                end(worker, run, RunOutcome.LAPSED);
            } else if (mNow >= worker.mEndsAt.get(run.task())) {
                endTogether(worker, run);
            }
        }
    }

    /** Members of a gang end at the same time, once all of them are present. */
    private void endTogether(RealWorker worker, RunRef run) {
        if (!mAccepted.get(run.task().job()).plan().steps().get(0).gang()) {
            end(worker, run, RunOutcome.DONE);
            return;
        }
        List<RealWorker> holders = new ArrayList<>();
        List<RunRef> members = new ArrayList<>();
        for (RealWorker other : mWorkers.values()) {
            for (RunRef member : other.mRunning.values()) {
                if (member.task().job().equals(run.task().job())
                        && member.attempt() == run.attempt()) {
                    holders.add(other);
                    members.add(member);
                }
            }
        }
        if (members.size() == mAccepted.get(run.task().job()).plan().steps().get(0).count()) {
            for (int i = 0; i < members.size(); i++) {
                end(holders.get(i), members.get(i), RunOutcome.DONE);
            }
        }
    }

    private void end(RealWorker worker, RunRef run, RunOutcome how) {
        worker.mRunning.remove(run.task());
        worker.mEnds.add(new EndedRun(++worker.mEndNumber, run, how, ""));
    }

    private void at(long time, Runnable action) {
        mEvents.add(new Event(time, mOrder++, action));
    }
}
