package linengauge.platform;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntPredicate;
import linengauge.standin.PlatformJournal;

/**
 * A journal service on loopback that is slow, crowded or partly broken from {@link #beginTrouble}
 * on. Watches that were opened earlier are answered at once.
 */
final class SlowJournal implements AutoCloseable {
  private static final int ACCEPT_BACKLOG = 512;
  private static final int HEARTBEAT_MS = 1000;
  private static final int WRITES_PER_PACED_EVENT = 200;
  private static final int MAX_UNPACED_BYTES = 1024;

  /** How the service treats watches that are opened during the trouble. */
  static final class Trouble {
    private long firstFrameMs;
    private long msPerWatch;
    private long listMs;
    private long heartbeatMs = HEARTBEAT_MS;
    private IntPredicate isAnswered = index -> true;

    /** The first frame is sent that late. */
    Trouble firstFrameAfter(long ms) {
      firstFrameMs = ms;
      return this;
    }

    /** Watches are answered one after another, also those that the front has closed meanwhile. */
    Trouble watchesPerSecond(int rate) {
      msPerWatch = 1000 / rate;
      return this;
    }

    /** Each list is written evenly over this time. */
    Trouble listsTake(long ms) {
      listMs = ms;
      return this;
    }

    /** The interval of the empty frames, on all watches. */
    Trouble heartbeatEach(long ms) {
      heartbeatMs = ms;
      return this;
    }

    /** Which watches are answered, by their number since the trouble began, from 0. */
    Trouble answersOnly(IntPredicate indices) {
      isAnswered = indices;
      return this;
    }
  }

  private final class Watch {
    private final Socket socket;
    private final Trouble troubleAtStart;
    private volatile boolean silent;
    private long position;

    private Watch(Socket socket, Trouble trouble) {
      this.socket = socket;
      this.troubleAtStart = trouble;
    }

    private void serve() {
      try {
        OutputStream output = socket.getOutputStream();
        while (true) {
          byte[] event = awaitEvent();
          if (silent) {
            return;
          }
          if (event == null) {
            output.write(heartbeat());
          } else if (troubleAtStart.listMs > 0 && event.length > MAX_UNPACED_BYTES) {
            writeEvenly(output, event, troubleAtStart.listMs);
          } else {
            output.write(event);
          }
        }
      } catch (IOException | InterruptedException e) {
        // The front has closed the watch, or the service has broken off.
      }
    }

    /** Returns the next event, or null if there is none when the next heartbeat is due. */
    private byte[] awaitEvent() throws InterruptedException {
      synchronized (SlowJournal.this) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(trouble.heartbeatMs);
        while (position >= events.size()) {
          long leftMs = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
          if (leftMs <= 0) {
            return null;
          }
          SlowJournal.this.wait(leftMs);
        }
        return events.get((int) position++);
      }
    }
  }

  private final ServerSocket listener;
  private final List<byte[]> events = new ArrayList<>();
  private final List<Watch> answered = new ArrayList<>();
  private final BlockingQueue<Watch> queue = new LinkedBlockingQueue<>();
  private final AtomicInteger openWatches = new AtomicInteger();
  private Trouble trouble = new Trouble();
  private boolean inTrouble;
  private int opened;
  private int mostOpen;

  /** Starts a service whose first event is the one that every front knows at its start. */
  SlowJournal() throws IOException {
    listener = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());
    events.add(new byte[0]);
    startThread(this::accept);
    startThread(this::answerInOrder);
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "slow-journal");
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Watch watch;
        synchronized (this) {
          watch = new Watch(socket, trouble);
          opened++;
          mostOpen = Math.max(mostOpen, openWatches.incrementAndGet());
        }
        startThread(() -> read(watch));
      }
    } catch (IOException e) {
      // The service has ended.
    }
  }

  private void read(Watch watch) {
    try (Socket socket = watch.socket) {
      var input = new DataInputStream(socket.getInputStream());
      watch.position = input.readLong();
      if (isAnswered()) {
        queue.add(watch);
      }
      while (input.read() >= 0) {
        // A front writes nothing more.
      }
    } catch (IOException e) {
      // Closed.
    }
    openWatches.decrementAndGet();
  }

  private int asked;

  private synchronized boolean isAnswered() {
    return !inTrouble || trouble.isAnswered.test(asked++);
  }

  private void answerInOrder() {
    try {
      while (true) {
        Watch watch = queue.take();
        Thread.sleep(watch.troubleAtStart.msPerWatch);
        startThread(
            () -> {
              try {
                Thread.sleep(watch.troubleAtStart.firstFrameMs);
                synchronized (this) {
                  answered.add(watch);
                }
                if (watch.position >= eventCount()) {
                  watch.socket.getOutputStream().write(heartbeat());
                }
                watch.serve();
              } catch (IOException | InterruptedException e) {
                // The front has closed the watch before it was answered.
              }
            });
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized int eventCount() {
    return events.size();
  }

  private synchronized byte[] heartbeat() {
    return PlatformJournal.heartbeat(events.size());
  }

  private static void writeEvenly(OutputStream output, byte[] event, long totalMs)
      throws IOException, InterruptedException {
    int chunk = Math.max(1, (event.length + WRITES_PER_PACED_EVENT - 1) / WRITES_PER_PACED_EVENT);
    long startedAt = System.nanoTime();
    for (int from = 0; from < event.length; from += chunk) {
      int length = Math.min(chunk, event.length - from);
      output.write(event, from, length);
      long dueNanos = TimeUnit.MILLISECONDS.toNanos(totalMs) * (from + length) / event.length;
      Thread.sleep(
          Math.max(0, TimeUnit.NANOSECONDS.toMillis(startedAt + dueNanos - System.nanoTime())));
    }
  }

  /** From now on watches are treated so; counts of watches begin again. */
  synchronized void beginTrouble(Trouble newTrouble) {
    trouble = newTrouble;
    inTrouble = true;
    asked = 0;
    opened = 0;
    mostOpen = openWatches.get();
  }

  /** Closes every watch that has been answered. */
  synchronized void breakOff() throws IOException {
    for (Watch watch : answered) {
      watch.socket.close();
    }
    answered.clear();
  }

  /** Every watch that has been answered stays open and carries nothing more. */
  synchronized void fallSilent() {
    for (Watch watch : answered) {
      watch.silent = true;
    }
    answered.clear();
  }

  /** Publishes a change of one server, or the whole list if there are more entries. */
  synchronized void publish(byte[]... records) {
    long number = events.size() + 1;
    events.add(
        records.length > 1
            ? PlatformJournal.fullList(number, records)
            : PlatformJournal.changes(number, records));
    notifyAll();
  }

  /** A whole list of that many servers, all of them draining, so that none is connected to. */
  static byte[][] listOf(int servers) {
    byte[][] records = new byte[servers][];
    for (int i = 0; i < servers; i++) {
      records[i] = PlatformJournal.record(i + 1, 9, 1, i % 4, 0);
    }
    return records;
  }

  /** Watches opened since the trouble began. */
  synchronized int opened() {
    return opened;
  }

  /** The most watches that were open at one time since the trouble began. */
  synchronized int mostOpen() {
    return mostOpen;
  }

  /** Watches that have been answered and that the trouble is to affect. */
  synchronized int answeredWatches() {
    return answered.size();
  }

  int openNow() {
    return openWatches.get();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
