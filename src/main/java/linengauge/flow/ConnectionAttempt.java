package linengauge.flow;

import linengauge.Moment;
import linengauge.Span;

/**
 * How far a connection has come with its next request, and until when it may take for it.
 *
 * <pre>
 * state        a byte comes   headers whole   answered                          due after
 * FIRST_BYTE   HEADERS        UNDER_WAY       -                                 firstByte
 * HEADERS      -              UNDER_WAY       -                                 headers
 * UNDER_WAY    (noted)        one more        HEADERS if noted, else BETWEEN    never
 * BETWEEN      HEADERS        UNDER_WAY       -                                 between
 * </pre>
 */
public final class ConnectionAttempt {
  /** What the connection waits for. */
  public enum State {
    FIRST_BYTE,
    HEADERS,
    UNDER_WAY,
    BETWEEN
  }

  /** The connection on its socket. */
  public interface Connection {
    /** It has taken too long with what the state names. */
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

  /** An answer is owed to it. */
  public boolean isResponsePending() {
    return requestsInProgress > 0;
  }

  Connection connection() {
    return connection;
  }

  /** When it is to be closed, by the loop's own time; null while a request is under way. */
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

  /** A byte has come. */
  public void byteReceived() {
    if (state == State.UNDER_WAY) {
      nextRequestStarted = true;
    } else if (state != State.HEADERS) {
      enter(State.HEADERS, attempts.loopTime());
    }
  }

  /** A request's headers are whole; false where too many wait on this connection already. */
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

  /** A request's answer is written, or broken off. */
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
