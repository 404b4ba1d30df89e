package linengauge.drill;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Free ports on loopback, under the range from which the system gives ports to connections: a front that is killed and
 * started again finds its own still free.
 */
public final class Ports {
    public static final String HOST = "127.0.0.1";
    private static final int FIRST = 12_000;
    private static final int COUNT = 18_000;

    private Ports() {
    }

    /** So many different ports, none in use now. */
    public static List<Integer> free(int count) throws IOException {
        SplittableRandom chance = new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid() << 32);
        List<Integer> ports = new ArrayList<>();
        for (int tries = 0; ports.size() < count; tries++) {
            if (tries > 20 * count + 200) {
                throw new IOException("no free ports on " + HOST);
            }
            int port = FIRST + chance.nextInt(COUNT);
            try (ServerSocket s = new ServerSocket()) {
                s.bind(new InetSocketAddress(InetAddress.getByName(HOST), port));
                if (!ports.contains(port)) {
                    ports.add(port);
                }
            } catch (IOException inUse) {
                continue;
            }
        }
        return ports;
    }
}
