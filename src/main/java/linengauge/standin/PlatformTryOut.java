package linengauge.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * The environment of a trial run: three boxes, the journal service and a connection of viewers, on
 * free loopback ports.
 */
public final class PlatformTryOut implements AutoCloseable {
  private static final int VIEWINGS = 200;
  private final PlatformBox[] boxes = {new PlatformBox(), new PlatformBox(), new PlatformBox()};
  private final PlatformJournal journal = new PlatformJournal(1);
  private final int port;

  public PlatformTryOut() throws IOException {
    port = freePort();
  }

  /** Returns a port that is currently free. */
  public static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  public int port() {
    return port;
  }

  public int journal() {
    return journal.port();
  }

  public int[] boxes() {
    return new int[] {boxes[0].port(), boxes[1].port(), boxes[2].port()};
  }

  /** Returns true if at least half of the requested viewings were answered as playing. */
  public boolean play() throws IOException, InterruptedException {
    int played = 0;
    try (var viewers = new PlatformViewers(port)) {
      viewers.sendProbe();
      viewers.next(2000);
      journal.publish(PlatformJournal.record(9, 1, 1, 3, 0));
      for (int id = 1; id <= VIEWINGS; id++) {
        viewers.send(PlatformViewers.setUp(id, "lesson", 2000, ""));
        boxes[id % 3].behavior =
            id % 20 == 0 ? PlatformBox.Behavior.FULL : PlatformBox.Behavior.NORMAL;
        for (var message = viewers.next(3000); message != null; message = viewers.next(3000)) {
          if (message.id() == id) {
            played += message.type() == 9 ? 1 : 0;
            break;
          }
        }
        if (id % 2 == 0) {
          viewers.end(id, 16);
        } else {
          for (PlatformBox box : boxes) {
            if (box.playing().containsKey(String.format("%016x", id))) {
              box.sendNote(String.format("%016x", id), "got", 0.9);
              box.end(String.format("%016x", id), 16);
            }
          }
        }
      }
    }
    return played >= VIEWINGS / 2;
  }

  @Override
  public void close() throws IOException {
    for (PlatformBox box : boxes) {
      box.close();
    }
    journal.close();
  }
}
