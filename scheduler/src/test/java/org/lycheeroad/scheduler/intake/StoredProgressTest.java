package org.lycheeroad.scheduler.intake;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.WorkState;

/** The stored form of progress, which daemons of different versions read and write. */
class StoredProgressTest {
    /** Guards against progress of which the next owner loses a part. */
    @Test
    void allFieldsAreRestored() throws Exception {
        ProgressRecord progress =
                new ProgressRecord(
                        WorkState.ACTIVE,
                        List.of(
                                new TaskProgress(
                                        1, 2, 3, 4, 5, 6, false, new WorkerId("w"), 7, "c")));
        assertThat(Json.read(Json.write(progress), ProgressRecord.class)).isEqualTo(progress);
    }

    /** Guards against a daemon that cannot take over the jobs of an older version. */
    @Test
    void recordOfAnOlderVersionIsRead() throws Exception {
        String stored =
                "{\"state\":\"ACTIVE\",\"tasks\":[{\"occurrence\":0,\"step\":0,\"index\":0,"
                        + "\"attempt\":2,\"failures\":1,\"done\":false,\"worker\":null,"
                        + "\"workerBornMs\":0,\"checkpoint\":\"\"}]}";
        assertThat(Json.read(stored, ProgressRecord.class).tasks())
                .containsExactly(new TaskProgress(0, 0, 0, 2, 1, 0, false, null, 0, ""));
    }
}
