package org.lycheeroad.scheduler.config;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Packs configurations for the way to other daemons, which may lead over a narrow link. */
public final class Gzip {
    private Gzip() {}

    /** Returns the packed form of some bytes. */
    public static ByteString compress(ByteString plain) {
        ByteString.Output packed = ByteString.newOutput();
        try (GZIPOutputStream out = new GZIPOutputStream(packed)) {
            plain.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return packed.toByteString();
    }

    /**
     * Returns the plain form of packed bytes.
     *
     * @throws IOException if the bytes are damaged
     */
    public static ByteString decompress(byte[] packed) throws IOException {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(packed))) {
            return ByteString.readFrom(in);
        }
    }
}
