package linengauge.session;

import java.util.HashMap;
import java.util.Map;
import linengauge.Policy;

/** The titles with a viewing at this front; a title is removed with its last viewing. */
public final class TitleTable {
  private static final class UsedTitle {
    private final Policy.Title title;
    private int viewings;

    private UsedTitle(Policy.Title title) {
      this.title = title;
    }
  }

  private final Policy policy;
  private final Map<String, UsedTitle> titles = new HashMap<>();

  public TitleTable(Policy policy) {
    this.policy = policy;
  }

  /**
   * The module's handle of a title, for one more viewing of it at the cells that its own request
   * names. Only the number of viewings is shared by all requests for the title.
   */
  public Policy.Title acquire(String name, int firstCell, int cellsInRow) {
    UsedTitle used =
        titles.computeIfAbsent(
            name, key -> new UsedTitle(policy.createTitle(firstCell, cellsInRow)));
    used.viewings++;
    return used.title.withCells(firstCell, cellsInRow);
  }

  /** Gives up the title for one viewing. */
  public void release(String name) {
    titles.computeIfPresent(name, (key, used) -> --used.viewings > 0 ? used : null);
  }

  public int size() {
    return titles.size();
  }
}
