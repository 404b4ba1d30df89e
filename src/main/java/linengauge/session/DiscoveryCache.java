package linengauge.session;

import java.util.List;

/**
 * Keeps the box list in the order of its revisions. Changes are applied only on the revision that
 * they start from; after a gap, a break too long or a list that started anew, the whole list is
 * wanted.
 */
public final class DiscoveryCache {
  /** What became of a piece of the list. */
  public enum UpdateResult {
    APPLIED,
    /** Heard before; nothing was done. */
    OLD,
    /**
     * Something before it was missed: the whole list is wanted, and the present one stands till it
     * comes.
     */
    GAP
  }

  /** No list has been heard: the whole one is wanted. */
  public static final long NO_REVISION = -1;

  private final BoxTable boxes;
  private long revision = NO_REVISION;

  public DiscoveryCache(BoxTable boxes) {
    this.boxes = boxes;
  }

  /**
   * The revision that the boxes are at, from which changes may be asked; NONE: the whole list is
   * wanted.
   */
  public long revision() {
    return revision;
  }

  /**
   * A whole list; one older than what is known is from a list that started anew, and holds as well.
   */
  public UpdateResult applyFull(long at, List<BoxTable.ListedBox> rows) {
    boxes.apply(true, rows);
    revision = at;
    return UpdateResult.APPLIED;
  }

  /** Changes that lead from one revision to another. */
  public UpdateResult applyChanges(long from, long to, List<BoxTable.ListedBox> rows) {
    if (revision == NO_REVISION || from > revision) {
      return UpdateResult.GAP;
    }
    if (to <= revision) {
      return UpdateResult.OLD;
    }
    if (from < revision) {
      return UpdateResult.GAP; // part of it is known, part not: rows of both cannot be told apart
    }
    boxes.apply(false, rows);
    revision = to;
    return UpdateResult.APPLIED;
  }

  /** The list cannot answer for the revision known: the next one must be whole. */
  public void reset() {
    revision = NO_REVISION;
  }
}
