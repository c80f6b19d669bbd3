package org.lycheeroad.scheduler.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class GzipTest {
    /** A configuration of many queues must pass a link of low bandwidth within seconds. */
    @Test
    void compressedTextIsSmallAndDecompressesToTheOriginal() throws IOException {
        ByteString plain = ByteString.copyFromUtf8("{\"name\":\"queue\"},".repeat(10_000));
        ByteString compressed = Gzip.compress(plain);
        assertThat(compressed.size()).isLessThan(plain.size() / 20);
        assertThat(Gzip.decompress(compressed.toByteArray())).isEqualTo(plain);
    }

    /** Corrupt input must not be taken for a configuration. */
    @Test
    void corruptInputIsRejected() {
        assertThatThrownBy(() -> Gzip.decompress(new byte[] {1, 2, 3}))
                .isInstanceOf(IOException.class);
    }
}
