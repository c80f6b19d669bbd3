package org.lycheeroad.scheduler.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class GzipTest {
    /** A configuration of many queues must pass a narrow link within seconds. */
    @Test
    void compressedTextIsSmallAndDecompressesToTheOriginal() throws IOException {
        ByteString plain = ByteString.copyFromUtf8("{\"name\":\"queue\"},".repeat(10_000));
        ByteString packed = Gzip.compress(plain);
        assertThat(packed.size()).isLessThan(plain.size() / 20);
        assertThat(Gzip.decompress(packed.toByteArray())).isEqualTo(plain);
    }

    /** Damaged bytes must not become a configuration. */
    @Test
    void corruptInputIsRejected() {
        assertThatThrownBy(() -> Gzip.decompress(new byte[] {1, 2, 3}))
                .isInstanceOf(IOException.class);
    }
}
