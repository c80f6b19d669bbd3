package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskReport;

/** Collects the actions that result from one event. */
final class ActionBuffer {
    private List<PlacementAction> mActions = new ArrayList<>();

    /** Adds an order to a member; only RESERVE, CONFIRM and START carry the job's spec. */
    void addOrder(OrderKind kind, GangMember member, long leaseMs) {
        Gang gang = member.mGang;
        boolean withSpec =
                kind == OrderKind.RESERVE || kind == OrderKind.CONFIRM || kind == OrderKind.START;
        mActions.add(
                new PlacementAction.SendOrder(
                        member.mWorker.mId,
                        new Order(
                                kind,
                                gang.id(),
                                member.mIndex,
                                gang.mAttemptNumber,
                                member.accelerators(),
                                withSpec ? gang.mSpec : null,
                                leaseMs)));
    }

    /** Adds an order for a reported task that belongs to no known attempt. */
    void addOrderForUnknownTask(WorkerId worker, OrderKind kind, TaskReport task) {
        mActions.add(
                new PlacementAction.SendOrder(
                        worker,
                        new Order(
                                kind,
                                task.job(),
                                task.member(),
                                task.attempt(),
                                task.accelerators(),
                                null,
                                0)));
    }

    void addJobChange(Gang gang, JobState state, String reason) {
        mActions.add(new PlacementAction.JobChanged(gang.id(), state, reason));
    }

    /** Returns the collected actions and empties the buffer. */
    List<PlacementAction> drain() {
        if (mActions.isEmpty()) {
            return List.of();
        }
        List<PlacementAction> actions = mActions;
        mActions = new ArrayList<>();
        return actions;
    }
}
