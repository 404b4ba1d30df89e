package linengauge.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A way over TCP from one process to another that can be cut and slowed, each direction by itself. What is cut stays unread: the
 * sender sees a connection that is up and silent, as behind a network that drops its packets.
 */
public final class CutLink implements AutoCloseable {
    private static final int PIECE = 16 * 1024;
    private static final int MOST = 64;

    /** One direction. */
    public static final class Way {
        private boolean cut;
        private long delayMs;

        private synchronized void pass() throws InterruptedException {
            while (cut) {
                wait();
            }
            if (delayMs > 0) {
                wait(delayMs);
            }
        }

        public synchronized void cut(boolean is) {
            cut = is;
            notifyAll();
        }

        /** Each piece is held so long, one after another. */
        public synchronized void delay(long ms) {
            delayMs = ms;
        }
    }

    private final ServerSocket server;
    private final InetSocketAddress to;
    private final Way there = new Way();
    private final Way back = new Way();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean closed;

    public CutLink(InetAddress at, InetSocketAddress to) throws IOException {
        this.server = new ServerSocket(0, MOST, at);
        this.to = to;
        daemon("link", this::accept);
    }

    public String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** From whoever calls to whoever listens. */
    public Way there() {
        return there;
    }

    public Way back() {
        return back;
    }

    /** Ends all connections, as a router that has started anew does. */
    public synchronized void reset() {
        for (Socket s : sockets) {
            shut(s);
        }
        sockets.clear();
    }

    private static void daemon(String name, Runnable r) {
        Thread t = new Thread(r, name);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket caller = server.accept();
                Socket called = new Socket();
                synchronized (this) {
                    if (sockets.size() >= 2 * MOST) {
                        shut(sockets.remove(0));
                    }
                    sockets.add(caller);
                    sockets.add(called);
                }
                daemon("link", () -> connect(caller, called));
            } catch (IOException e) {
                continue; // closed, or a caller that has gone already
            }
        }
    }

    private void connect(Socket caller, Socket called) {
        try {
            called.connect(to, 2000);
            called.setTcpNoDelay(true);
            caller.setTcpNoDelay(true);
            daemon("link back", () -> carry(called, caller, back));
            carry(caller, called, there);
        } catch (IOException e) {
            shut(caller);
        }
    }

    private void carry(Socket from, Socket into, Way way) {
        byte[] piece = new byte[PIECE];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = into.getOutputStream();
            way.pass();
            for (int n = in.read(piece); n > 0; n = in.read(piece)) {
                way.pass();
                out.write(piece, 0, n);
                out.flush();
            }
        } catch (IOException e) {
            // the other side has gone
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            shut(from);
            shut(into);
        }
    }

    private static void shut(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            return; // closed it is
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        reset();
    }
}
