package linengauge.platform;

import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Span;
import linengauge.session.Carrier.Wake;

/**
 * What a front of the platform is carried by: connections, timers and the time. On the platform
 * these are sockets on one event loop ({@link VertxNet}), in the fleet of the rehearsal a model in
 * virtual time. Everything told through it comes one after another and never within a call of it.
 */
public interface Net {
  /** One connection. */
  interface Connection {
    /**
     * Whoever hears it from here on; the second is told once, as it has closed, whoever closed it.
     */
    void setHandlers(Consumer<byte[]> dataHandler, Runnable closeHandler);

    void write(byte[] message);

    /** So much waits for whoever reads that nothing more should be written. */
    boolean isFull();

    /** Reads nothing more until resumed. */
    void pause();

    void resume();

    void close();

    /** For the log. */
    String peer();
  }

  /** What comes of trying a connection: one of both, once. */
  interface ConnectHandler {
    void connected(Connection connection);

    /** Refused: nothing listens there. Else it did not come up in its time, or is not to be had. */
    void failed(boolean refused, String reason);
  }

  /**
   * Listens for viewers; told when it does so (null), or why it cannot, and later of connections
   * not taken.
   */
  interface AcceptHandler {
    void listening(String failure);

    void accepted(Connection connection);

    void acceptFailed(String reason);
  }

  Moment now();

  /**
   * Tries a connection to host:port, no longer than the dialling time; so many bytes may wait on
   * it.
   */
  void connect(String address, int writeBufferBytes, ConnectHandler handler);

  /** Listens at host:port; so many bytes may wait on each connection. */
  void listen(String address, int writeBufferBytes, AcceptHandler listener);

  /** Runs the step once, not earlier than after the span. */
  Wake schedule(Span delay, Runnable task);

  /** Runs the step again and again, so far apart. */
  void scheduleEvery(Span interval, Runnable task);

  /**
   * Runs the step as soon as what is under way is over, and what has come with it has been read.
   */
  void defer(Runnable task);

  /**
   * Runs the step once all that has been written so far has left the process, or cannot any more;
   * and after the span at the latest, whoever does not read.
   */
  void whenFlushed(Span timeLimit, Runnable task);
}
