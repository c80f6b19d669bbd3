package org.lycheeroad.systemtests.layers.impure;

import java.util.Random;
import org.lycheeroad.standins.HostPortList;

/** Breaks every layer rule, to show that the rules find it. */
final class ImpureCore {
    private ImpureCore() {}

    static Object decide() throws java.io.IOException {
        HostPortList.parse("127.0.0.1:1");
        try (java.net.Socket socket = new java.net.Socket()) {
            return System.nanoTime()
                    + System.currentTimeMillis()
                    + new Random().nextInt()
                    + socket.getPort();
        }
    }
}
