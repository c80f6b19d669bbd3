package org.lycheeroad.scheduler.config;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses configurations sent to other daemons, possibly over a link of low bandwidth. */
public final class Gzip {
    private Gzip() {}

    /** Compresses bytes in the gzip format. */
    public static ByteString compress(ByteString plain) {
        ByteString.Output compressed = ByteString.newOutput();
        try (GZIPOutputStream out = new GZIPOutputStream(compressed)) {
            plain.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return compressed.toByteString();
    }

    /**
     * Decompresses bytes in the gzip format.
     *
     * @throws IOException if the input is corrupt
     */
    public static ByteString decompress(byte[] compressed) throws IOException {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            return ByteString.readFrom(in);
        }
    }
}
