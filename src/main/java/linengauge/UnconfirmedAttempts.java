package linengauge;

import java.util.ArrayList;
import java.util.List;

/**
 * Attempts of one request that have ended for this front and perhaps not yet for their servers: an
 * end was written, or a connection closed, and nothing shows that the server has read it. A retry
 * travels on another connection and may be read first, so that two attempts are in progress at once
 * and the end of the earlier one is taken for that of the later one. A server with such an attempt
 * therefore gets no further one of the same request until it is confirmed that the attempt has
 * ended there. The drawback: where a title is held by one server alone that never confirms, the
 * request is rejected although time is left.
 */
final class UnconfirmedAttempts {
  private record Attempt(long serverId, int number) {}

  /** Bounded by the attempts that a request may make; discarded with the request. */
  private final List<Attempt> attempts = new ArrayList<>(2);

  /** Adds an attempt that has ended here and of whose end the server may not know. */
  void add(long serverId, int number) {
    attempts.add(new Attempt(serverId, number));
  }

  /**
   * That attempt has ended at its server: the server has said so, or has said something that it can
   * only have said after reading the end. Returns false where the attempt was not unconfirmed.
   */
  boolean confirm(int number) {
    return attempts.removeIf(attempt -> attempt.number == number);
  }

  boolean mayBeOutAt(long serverId) {
    for (Attempt attempt : attempts) {
      if (attempt.serverId == serverId) {
        return true;
      }
    }
    return false;
  }

  boolean isEmpty() {
    return attempts.isEmpty();
  }
}
