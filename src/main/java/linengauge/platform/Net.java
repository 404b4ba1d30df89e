package linengauge.platform;

import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Span;
import linengauge.session.Transport.Timer;

/**
 * The connections, the timers and the clock that a front of the platform uses. On the platform
 * these are sockets on one event loop ({@link VertxNet}), in the simulated fleet a model in virtual
 * time. All callbacks run one after another, and never within a call of this interface.
 */
public interface Net {
  /** One connection. */
  interface Connection {
    /**
     * Sets the handlers for received data and for the close; the latter runs once after the
     * connection has closed, whichever side closed it.
     */
    void setHandlers(Consumer<byte[]> dataHandler, Runnable closeHandler);

    void write(byte[] message);

    /** Whether so much waits for the peer to read that nothing more should be written. */
    boolean isFull();

    /** Stops reading until {@link #resume}. */
    void pause();

    void resume();

    /** Closes the connection once what was written has left, within a bounded time. */
    void close();

    /** Closes the connection at once; what has not left yet is dropped. */
    void abort();

    /** The address of the peer, for the log. */
    String peer();
  }

  /** Handles the outcome of {@link #connect}; exactly one of the methods is called, once. */
  interface ConnectHandler {
    void connected(Connection connection);

    /**
     * The connection was not opened. Refused: nothing listens at the address; else it timed out, or
     * no connection is available.
     */
    void failed(boolean refused, String reason);
  }

  /**
   * Handles connections from clients. {@link #listening} is called once, with null or with the
   * reason why the front cannot listen; {@link #acceptFailed} is called for each connection that
   * could not be accepted.
   */
  interface AcceptHandler {
    void listening(String failure);

    void accepted(Connection connection);

    void acceptFailed(String reason);
  }

  Moment now();

  /**
   * Opens a connection to host:port, within the time limit, or within the connect timeout of the
   * settings if that is {@link Span#NONE}. At most the given number of bytes may wait to be written
   * on it.
   */
  void connect(String address, Span timeLimit, int writeBufferBytes, ConnectHandler handler);

  /** Listens at host:port. At most the given number of bytes may wait on each connection. */
  void listen(String address, int writeBufferBytes, AcceptHandler handler);

  /** Runs the task once, not earlier than after the delay. */
  Timer schedule(Span delay, Runnable task);

  /** Runs the task repeatedly at the given interval. */
  void scheduleEvery(Span interval, Runnable task);

  /**
   * Runs the task as soon as the current event is over and everything that arrived with it has been
   * read.
   */
  void defer(Runnable task);

  /**
   * Runs the task once everything written so far has left the process or can no longer leave it,
   * and after the time limit at the latest, even if a peer does not read.
   */
  void whenFlushed(Span timeLimit, Runnable task);
}
