package linengauge.session;

import java.util.HashMap;
import java.util.Map;
import linengauge.Policy;

/** Titles with a viewing here; a title leaves with its last one. */
public final class TitleTable {
  private static final class Row {
    private final Policy.Title title;
    private int viewings;

    private Row(Policy.Title title) {
      this.title = title;
    }
  }

  private final Policy policy;
  private final Map<String, Row> rows = new HashMap<>();

  public TitleTable(Policy policy) {
    this.policy = policy;
  }

  /** The handle of a title, for one more viewing of it. */
  public Policy.Title acquire(String name, int firstCell, int cellsInRow) {
    Row r = rows.computeIfAbsent(name, n -> new Row(policy.title(firstCell, cellsInRow)));
    r.viewings++;
    return r.title;
  }

  /** One viewing of it less. */
  public void release(String name) {
    rows.computeIfPresent(name, (n, r) -> --r.viewings > 0 ? r : null);
  }

  public int size() {
    return rows.size();
  }
}
