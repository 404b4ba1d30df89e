package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.platform.connection.HeapBudget;
import org.junit.jupiter.api.Test;

/** What all connections together may occupy, and who is turned away. */
class HeapBudgetTest {
  private static final long LIMIT = 1000;

  /** Guards against a bound under which few that take much leave no room for the others. */
  @Test
  void oneMayTakeAllUntilOthersComeAndKeepTheirShare() {
    HeapBudget budget = new HeapBudget(LIMIT);
    HeapBudget.Account large = budget.openAccount();
    HeapBudget.Account small = budget.openAccount();
    assertTrue(large.hasRoomFor(LIMIT));
    large.add(LIMIT);
    assertFalse(large.hasRoomFor(1));
    assertTrue(small.hasRoomFor(LIMIT / 2));
    small.add(LIMIT / 2);
    assertTrue(large.isOverShare());
    assertFalse(small.isOverShare());
    large.close();
    large.add(7);
    assertEquals(LIMIT / 2, budget.used(), "a closed account counts no more");
  }

  @Test
  void theTotalStaysUnderTwiceTheLimitAndReturnsToNothing() {
    for (int seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      HeapBudget budget = new HeapBudget(LIMIT);
      List<HeapBudget.Account> accounts = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        accounts.add(budget.openAccount());
      }
      for (int step = 0; step < 500; step++) {
        HeapBudget.Account account = accounts.get(random.nextInt(accounts.size()));
        int bytes = random.nextInt(100);
        if (account.hasRoomFor(bytes)) {
          account.add(bytes);
        }
        assertTrue(budget.used() <= 2 * LIMIT, "seed " + seed + ": " + budget.used());
      }
      accounts.forEach(HeapBudget.Account::close);
      assertEquals(0, budget.used(), "seed " + seed);
    }
  }
}
