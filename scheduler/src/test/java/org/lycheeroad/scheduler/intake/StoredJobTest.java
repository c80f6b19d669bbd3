package org.lycheeroad.scheduler.intake;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.QueueConfig.AdviceTiming;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.QueueSettings;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.StepPlan;

/** The stored form of accepted jobs, which daemons of different versions read and write. */
class StoredJobTest {
    private static final JobPlan PLAN =
            new JobPlan("spec", List.of(StepPlan.unconstrained(1, Resources.NONE, 1_000)), 0, 0, 0);

    /** Guards against a job whose queue's settings are lost on the way to the next owner. */
    @Test
    void settingsOfTheQueueAreRestored() throws Exception {
        QueueSettings settings =
                new QueueSettings(
                        new ServiceName("s"), 1, 2, 3.5, 4, new AdviceTiming(20, 5, 3_000));
        JobRecord record = new JobRecord(new QueueName("q"), new TeamId("t"), PLAN, 7, settings);
        assertThat(Json.read(Json.write(record), JobRecord.class)).isEqualTo(record);
    }

    /** Guards against a daemon that cannot take over the jobs of an older version. */
    @Test
    void recordOfAnOlderVersionIsRead() throws Exception {
        String stored =
                "{\"queue\":{\"value\":\"q\"},\"team\":\"t\",\"plan\":"
                        + Json.write(PLAN)
                        + ",\"acceptedAtMs\":7}";
        assertThat(Json.read(stored, JobRecord.class))
                .isEqualTo(new JobRecord(new QueueName("q"), new TeamId("t"), PLAN, 7));
    }
}
