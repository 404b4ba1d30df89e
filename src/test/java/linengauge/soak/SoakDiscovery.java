package linengauge.soak;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import linengauge.standin.FaultyServer;

/**
 * The discovery service of a run: one store of numbered events, served at changing addresses. It
 * falls silent, cuts the connection in the middle of an event, repeats events, and is down for a
 * while.
 */
final class SoakDiscovery implements AutoCloseable {
  private static final long KEEP_ALIVE_INTERVAL_MS = 1000;
  private static final int HEADER_BYTES = 9;

  /** A server that was reported as draining or removed, and when the event was stored. */
  record Removal(String server, long recordedAt) {}

  /**
   * A span in which the service did not report what it had stored; it is not lasting where only the
   * streams were cut within an event.
   */
  record Outage(long from, long until, boolean lasting) {}

  private final SplittableRandom random;
  private final List<byte[]> frames = new ArrayList<>();
  private final List<Removal> removals = new ArrayList<>();
  private final List<Outage> outages = new ArrayList<>();
  private final List<Socket> subscribers = new CopyOnWriteArrayList<>();
  private ServerSocket listener;
  private volatile boolean silent;
  private volatile boolean closed;
  private long outageSince;

  SoakDiscovery(SplittableRandom random) throws IOException {
    this.random = random;
    open(0);
    start(this::sendKeepAlives);
  }

  private void open(int port) throws IOException {
    ServerSocket newListener = new ServerSocket();
    newListener.setReuseAddress(true);
    newListener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 16);
    listener = newListener;
    start(() -> accept(newListener));
  }

  private static void start(Runnable job) {
    Thread thread = new Thread(job, "soak-discovery");
    thread.setDaemon(true);
    thread.start();
  }

  synchronized int port() {
    return listener.getLocalPort();
  }

  /** The number of the last event. */
  synchronized int position() {
    return frames.size();
  }

  private void accept(ServerSocket serverSocket) {
    try {
      while (true) {
        Socket subscriber = serverSocket.accept();
        start(() -> serve(subscriber));
      }
    } catch (IOException e) {
      // The listener is closed.
    }
  }

  private void serve(Socket subscriber) {
    try {
      long last = new DataInputStream(subscriber.getInputStream()).readLong();
      synchronized (this) {
        subscribers.add(subscriber);
        for (int number = (int) Math.max(0, last); number < frames.size() && !silent; number++) {
          subscriber.getOutputStream().write(frames.get(number));
        }
      }
    } catch (IOException e) {
      // The front has closed the connection.
    }
  }

  private void sendKeepAlives() {
    try {
      while (!closed) {
        Thread.sleep(KEEP_ALIVE_INTERVAL_MS);
        send(frame(0, position(), new byte[0]));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static byte[] frame(int kind, long number, byte[] records) {
    return ByteBuffer.allocate(4 + HEADER_BYTES + records.length)
        .putInt(HEADER_BYTES + records.length)
        .putLong(number)
        .put((byte) kind)
        .put(records)
        .array();
  }

  private synchronized void send(byte[] bytes) {
    if (silent) {
      return;
    }
    for (Socket subscriber : subscribers) {
      try {
        subscriber.getOutputStream().write(bytes);
      } catch (IOException e) {
        subscribers.remove(subscriber);
      }
    }
  }

  /** Stores and sends an event; one in ten is sent twice, one in ten is cut off half way. */
  synchronized void changed(String server, boolean serves, byte[] records) {
    byte[] frame = frame(2, frames.size() + 1L, records);
    frames.add(frame);
    if (!serves) {
      removals.add(new Removal(server, FaultyServer.nowMicros()));
    }
    int variant = random.nextInt(10);
    if (variant == 0 && !silent) {
      sendTruncated(frame);
    } else {
      send(frame);
      if (variant == 1) {
        send(frame);
      }
    }
  }

  private void sendTruncated(byte[] frame) {
    long now = FaultyServer.nowMicros();
    outages.add(new Outage(now, now, false));
    for (Socket subscriber : subscribers) {
      try {
        subscriber.getOutputStream().write(frame, 0, frame.length / 2);
        subscriber.close();
      } catch (IOException e) {
        // The front has closed the connection.
      }
    }
    subscribers.clear();
  }

  /** Keeps streams open, old and new, and sends nothing on them. */
  synchronized void startSilence() {
    silent = true;
    outageSince = FaultyServer.nowMicros();
  }

  /** Serves new streams again; those that fell silent stay silent. */
  synchronized void endSilence() {
    silent = false;
    subscribers.clear();
    outages.add(new Outage(outageSince, FaultyServer.nowMicros(), true));
  }

  synchronized void stop() throws IOException {
    outageSince = FaultyServer.nowMicros();
    listener.close();
    closeSubscribers();
  }

  synchronized void restart() throws IOException {
    open(listener.getLocalPort());
    outages.add(new Outage(outageSince, FaultyServer.nowMicros(), true));
  }

  /** Moves to another address; the old one accepts no connections and sends nothing any more. */
  synchronized void move() throws IOException {
    listener.close();
    subscribers.clear();
    open(0);
  }

  private void closeSubscribers() {
    for (Socket subscriber : subscribers) {
      try {
        subscriber.close();
      } catch (IOException e) {
        // The socket is closed already.
      }
    }
    subscribers.clear();
  }

  synchronized List<Removal> removals() {
    return List.copyOf(removals);
  }

  synchronized List<Outage> outages() {
    return List.copyOf(outages);
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    listener.close();
    closeSubscribers();
  }
}
