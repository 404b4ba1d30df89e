package linengauge.lease;

import java.util.ArrayDeque;
import linengauge.Moment;
import linengauge.Span;

/** Bytes sent and received within the last second, against a bound. */
final class ByteBudget {
  private static final Span WINDOW = Span.ofSeconds(1);

  /** So many datagrams at the most are remembered apart; further ones count with the last. */
  private static final int MOST_SPENT = 256;

  private record Spent(Moment at, int bytes) {}

  private final int mostBytes;
  private final ArrayDeque<Spent> spent = new ArrayDeque<>();
  private int sum;

  ByteBudget(int mostBytes) {
    this.mostBytes = mostBytes;
  }

  void spend(Moment now, int bytes) {
    forget(now);
    Spent last = spent.size() < MOST_SPENT ? null : spent.removeLast();
    spent.add(new Spent(now, bytes + (last == null ? 0 : last.bytes())));
    sum += bytes;
  }

  /** The first moment at which so many bytes more are within the bound. */
  Moment allows(Moment now, int bytes) {
    forget(now);
    int over = sum + bytes - mostBytes;
    Moment at = now;
    for (Spent one : spent) {
      if (over <= 0) {
        break;
      }
      over -= one.bytes();
      at = one.at().plus(WINDOW);
    }
    return at;
  }

  private void forget(Moment now) {
    while (!spent.isEmpty() && !now.isBefore(spent.peek().at().plus(WINDOW))) {
      sum -= spent.poll().bytes();
    }
  }
}
