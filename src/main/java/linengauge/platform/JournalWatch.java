package linengauge.platform;

import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.codec.JournalFrameCodec;
import linengauge.platform.codec.MalformedMessageException;
import linengauge.platform.connection.SilenceLimit;
import linengauge.platform.connection.WatchHealth;
import linengauge.session.BoxTable.ListedBox;

/** One watch at the journal service: a connection that resumes after the last event known. */
final class JournalWatch {
  private static final int WRITE_BUFFER_BYTES = 1024;

  /** Within it the system sends its request for a connection three times: at 0, 1 and 3 s. */
  private static final Span CONNECT_TIME_LIMIT = Span.ofSeconds(4);

  /** Receives what a watch carries, until the watch has ended. */
  interface Listener {
    /** Whether the service is to be asked on a connection that has come up. */
    boolean mayAsk(JournalWatch watch);

    /** The number of the last event known, after which a new watch resumes. */
    long lastEventNumber();

    void onEvent(JournalWatch watch, long number, boolean full, List<ListedBox> rows);

    /** At least one frame was received completely; its event was delivered before. */
    void onFrames(JournalWatch watch);

    /** The watch has ended by itself. */
    void onFailed(JournalWatch watch, String reason);
  }

  private final PlatformFront front;
  private final String address;
  private final Listener listener;
  private final WatchHealth health;
  private final JournalFrameCodec frames;

  /** Null while it is dialled. */
  private Net.Connection connection;

  private boolean ended;

  JournalWatch(PlatformFront front, String address, SilenceLimit silenceLimit, Listener listener) {
    this.front = front;
    this.address = address;
    this.listener = listener;
    this.health = new WatchHealth(silenceLimit, front.now());
    this.frames = new JournalFrameCodec(this::deliver);
  }

  void open() {
    front.connect(
        address,
        CONNECT_TIME_LIMIT,
        WRITE_BUFFER_BYTES,
        new Net.ConnectHandler() {
          @Override
          public void connected(Net.Connection opened) {
            if (ended || !listener.mayAsk(JournalWatch.this)) {
              opened.close();
            } else {
              subscribe(opened);
            }
          }

          @Override
          public void failed(boolean refused, String reason) {
            fail("not reached: " + reason);
          }
        });
  }

  private void subscribe(Net.Connection opened) {
    connection = opened;
    health.onUp(front.now());
    front
        .events()
        .logFront(
            LogEvent.Kind.DISCOVERY,
            "connected to " + address + ", resuming after event " + listener.lastEventNumber());
    opened.setHandlers(
        data -> front.handleEvent(() -> read(data)), () -> front.handleEvent(() -> fail("closed")));
    opened.write(JournalFrameCodec.encodeResumePosition(listener.lastEventNumber()));
  }

  private void read(byte[] data) {
    if (ended) {
      return;
    }
    try {
      boolean isComplete = frames.feed(data) > 0;
      health.onReceived(data.length, isComplete, frames.hasPartialFrame(), front.now());
      if (isComplete && !ended) {
        listener.onFrames(this);
      }
    } catch (MalformedMessageException e) {
      fail(e.getMessage());
    }
  }

  private void deliver(long number, boolean full, List<ListedBox> rows) {
    if (!ended) {
      listener.onEvent(this, number, full, rows);
    }
  }

  WatchHealth health() {
    return health;
  }

  /** Whether parts of an event keep arriving that is newer than the given one. */
  boolean isReceivingEventAfter(long number, Moment now) {
    return frames.partialEventNumber() > number && health.isReceivingFrame(now);
  }

  /** Ends the watch and notifies the listener. */
  void fail(String reason) {
    if (!ended) {
      close();
      listener.onFailed(this, reason);
    }
  }

  /** Ends the watch; the listener is not called any more. */
  void close() {
    ended = true;
    if (connection != null) {
      connection.close();
    }
  }
}
