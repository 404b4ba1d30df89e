package linengauge.flow;

import linengauge.Moment;
import linengauge.Span;

/**
 * The request state of one connection and the deadline for what the connection sends next.
 *
 * <pre>
 * state        byte received  headers complete  response ended                         time limit
 * FIRST_BYTE   HEADERS        UNDER_WAY         -                                      firstByteTimeout
 * HEADERS      -              UNDER_WAY         -                                      headersTimeout
 * UNDER_WAY    (recorded)     another request   HEADERS if recorded, otherwise BETWEEN none
 * BETWEEN      HEADERS        UNDER_WAY         -                                      idleTimeout
 * </pre>
 */
public final class ConnectionAttempt {
  /**
   * What the connection waits for: {@code FIRST_BYTE} of its first request, the end of the {@code
   * HEADERS}, the response to a request {@code UNDER_WAY}, or the next request ({@code BETWEEN}).
   */
  public enum State {
    FIRST_BYTE,
    HEADERS,
    UNDER_WAY,
    BETWEEN
  }

  /** The underlying network connection. */
  public interface Connection {
    /** The time limit of this state has passed; the connection is to be closed. */
    void timedOut(State state);
  }

  private final ConnectionAttempts attempts;
  private final Connection connection;
  final long id;
  private State state = State.FIRST_BYTE;
  private Moment stateSince;
  private Moment deadline;
  private int requestsInProgress;
  private boolean nextRequestStarted;
  private boolean closed;

  ConnectionAttempt(ConnectionAttempts attempts, Connection connection, long id, Moment loopTime) {
    this.attempts = attempts;
    this.connection = connection;
    this.id = id;
    enter(State.FIRST_BYTE, loopTime);
  }

  public State state() {
    return state;
  }

  /** Whether a response is still to be completed. */
  public boolean isResponsePending() {
    return requestsInProgress > 0;
  }

  Connection connection() {
    return connection;
  }

  /** When the connection times out, in loop time; null while no time limit applies. */
  Moment deadline() {
    return deadline;
  }

  Moment stateSince() {
    return stateSince;
  }

  private void enter(State newState, Moment loopTime) {
    attempts.removeDeadline(this);
    state = newState;
    stateSince = loopTime;
    Span timeLimit = attempts.timeLimit(newState);
    deadline = timeLimit == null || closed ? null : loopTime.plus(timeLimit);
    attempts.addDeadline(this);
  }

  /** Called when bytes have been received. */
  public void byteReceived() {
    if (state == State.UNDER_WAY) {
      nextRequestStarted = true;
    } else if (state != State.HEADERS) {
      enter(State.HEADERS, attempts.loopTime());
    }
  }

  /** Called when a request's headers are complete; false if too many requests are pipelined. */
  public boolean requestReceived() {
    if (requestsInProgress > attempts.maxPipelinedRequests()) {
      return false;
    }
    requestsInProgress++;
    nextRequestStarted = false;
    if (state != State.UNDER_WAY) {
      enter(State.UNDER_WAY, attempts.loopTime());
    }
    return true;
  }

  /** Called when a response has been written or has failed. */
  public void responseEnded() {
    if (requestsInProgress > 0 && --requestsInProgress == 0 && !closed) {
      enter(nextRequestStarted ? State.HEADERS : State.BETWEEN, attempts.loopTime());
      nextRequestStarted = false;
    }
  }

  public void close() {
    closed = true;
    attempts.removeDeadline(this);
  }
}
