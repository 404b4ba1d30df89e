package linengauge;

import java.util.ArrayList;
import java.util.List;

/**
 * Attempts of one request that are over for this front and perhaps not yet for their servers: an
 * end was written, or a connection closed, and nothing says that the server has read it. A further
 * attempt travels on another connection and may be read first, so that two are out at once and the
 * end of the earlier one is taken for the later one's. So a server with such an attempt gets no
 * further one of the same request, until it is confirmed that the attempt is over there. It could
 * hurt where a title is held by one server alone that never confirms: the request is refused though
 * time is left.
 */
final class UnconfirmedAttempts {
  private record Attempt(long server, int number) {}

  /** Bounded by the attempts that a request may make; it goes with the request. */
  private final List<Attempt> attempts = new ArrayList<>(2);

  /** An attempt has ended here; the server may not have heard of it. */
  void endedUnconfirmed(long server, int number) {
    attempts.add(new Attempt(server, number));
  }

  /**
   * That attempt is over at its server: the server has said so, or said something that it can only
   * have said after reading the end. False where it was not in doubt.
   */
  boolean confirm(int number) {
    return attempts.removeIf(attempt -> attempt.number == number);
  }

  boolean mayBeOutAt(long server) {
    for (Attempt attempt : attempts) {
      if (attempt.server == server) {
        return true;
      }
    }
    return false;
  }

  boolean isEmpty() {
    return attempts.isEmpty();
  }
}
