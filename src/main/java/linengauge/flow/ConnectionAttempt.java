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

  private final ConnectionAttempts knocks;
  private final Connection caller;
  final long number;
  private State state = State.FIRST_BYTE;
  private Moment stateSince;
  private Moment dueAt;
  private int underWay;
  private boolean nextHasBegun;
  private boolean closed;

  ConnectionAttempt(ConnectionAttempts knocks, Connection caller, long number, Moment own) {
    this.knocks = knocks;
    this.caller = caller;
    this.number = number;
    go(State.FIRST_BYTE, own);
  }

  public State state() {
    return state;
  }

  /** An answer is owed to it. */
  public boolean isResponsePending() {
    return underWay > 0;
  }

  Connection caller() {
    return caller;
  }

  /** When it is to be closed, by the loop's own time; null while a request is under way. */
  Moment dueAt() {
    return dueAt;
  }

  Moment stateSince() {
    return stateSince;
  }

  private void go(State to, Moment own) {
    knocks.unlist(this);
    state = to;
    stateSince = own;
    Span bound = knocks.bound(to);
    dueAt = bound == null || closed ? null : own.plus(bound);
    knocks.list(this);
  }

  /** A byte has come. */
  public void byteReceived() {
    if (state == State.UNDER_WAY) {
      nextHasBegun = true;
    } else if (state != State.HEADERS) {
      go(State.HEADERS, knocks.own());
    }
  }

  /** A request's headers are whole; false where too many wait on this connection already. */
  public boolean requestReceived() {
    if (underWay > knocks.pipelined()) {
      return false;
    }
    underWay++;
    nextHasBegun = false;
    if (state != State.UNDER_WAY) {
      go(State.UNDER_WAY, knocks.own());
    }
    return true;
  }

  /** A request's answer is written, or broken off. */
  public void responseEnded() {
    if (underWay > 0 && --underWay == 0 && !closed) {
      go(nextHasBegun ? State.HEADERS : State.BETWEEN, knocks.own());
      nextHasBegun = false;
    }
  }

  public void close() {
    closed = true;
    knocks.unlist(this);
  }
}
