package org.lycheeroad.systemtests.layers.impure;

import java.util.Random;
import org.lycheeroad.standins.HostPortList;

/** Violates the layer rules, so that tests can check that the rules detect violations. */
final class LayerRuleViolator {
    private LayerRuleViolator() {}

    static Object violateAllRules() throws java.io.IOException {
        HostPortList.parse("127.0.0.1:1");
        try (java.net.Socket socket = new java.net.Socket()) {
            return System.nanoTime()
                    + System.currentTimeMillis()
                    + new Random().nextInt()
                    + socket.getPort();
        }
    }
}
