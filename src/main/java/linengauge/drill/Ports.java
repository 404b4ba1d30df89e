package linengauge.drill;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Free ports on loopback, all found at once so that they differ. */
final class Ports {
    static final String HOST = "127.0.0.1";

    private Ports() {
    }

    static List<Integer> free(int count) throws IOException {
        List<ServerSocket> open = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(HOST));
                open.add(s);
                ports.add(s.getLocalPort());
            }
        } finally {
            for (ServerSocket s : open) {
                s.close();
            }
        }
        return ports;
    }
}
