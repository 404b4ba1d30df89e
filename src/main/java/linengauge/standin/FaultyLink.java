package linengauge.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;

/** A TCP link between any two that can be made to delay, trickle, swallow one way, or reset. */
public final class FaultyLink {
    private final Vertx vertx;
    private final NetClient client;
    private final String host;
    private final int to;
    private final List<NetSocket> open = new ArrayList<>();
    private NetServer server;
    private int delayMs;
    private int trickleBytes;
    private boolean swallowAnswers;
    private boolean swallowAsked;
    private boolean resetOnAnswer;

    public FaultyLink(Vertx vertx, String host, int to) {
        this.vertx = vertx;
        this.host = host;
        this.to = to;
        this.client = vertx.createNetClient();
    }

    /** Opens the link; done with its port. */
    public Future<Integer> open() {
        server = vertx.createNetServer();
        server.connectHandler(near -> {
            open.add(near);
            near.pause();
            client.connect(to, host).onFailure(e -> near.close()).onSuccess(far -> {
                open.add(far);
                carry(near, far, false);
                carry(far, near, true);
                near.resume();
            });
        });
        return server.listen(0, host).map(NetServer::actualPort);
    }

    private void carry(NetSocket from, NetSocket on, boolean answers) {
        from.exceptionHandler(e -> { });
        from.closeHandler(v -> {
            open.remove(from);
            vertx.setTimer(Math.max(1, delayMs), t -> on.close());
        });
        from.handler(b -> {
            if (answers && resetOnAnswer) {
                from.close();
                on.close();
            } else if (answers ? swallowAnswers : swallowAsked) {
                return;
            } else if (answers && trickleBytes > 0) {
                trickle(on, b, 0);
            } else if (delayMs > 0) {
                vertx.setTimer(delayMs, t -> on.write(b));
            } else {
                on.write(b);
                if (on.writeQueueFull()) {
                    from.pause();
                    on.drainHandler(v -> from.resume());
                }
            }
        });
    }

    private void trickle(NetSocket on, Buffer b, int from) {
        int until = Math.min(b.length(), from + trickleBytes);
        on.write(b.getBuffer(from, until));
        if (until < b.length()) {
            vertx.setTimer(100, t -> trickle(on, b, until));
        }
    }

    public void delay(int ms) {
        delayMs = ms;
    }

    /** Answers come with so many bytes in each tenth of a second; 0: at full speed. */
    public void trickle(int bytes) {
        trickleBytes = bytes;
    }

    public void swallowAnswers(boolean on) {
        swallowAnswers = on;
    }

    public void swallowAsked(boolean on) {
        swallowAsked = on;
    }

    /** Connections break as soon as the other side answers. */
    public void resetOnAnswer(boolean on) {
        resetOnAnswer = on;
    }

    /** Breaks all connections now. */
    public void cut() {
        for (NetSocket s : List.copyOf(open)) {
            s.close();
        }
    }
}
