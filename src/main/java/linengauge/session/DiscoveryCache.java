package linengauge.session;

import java.util.List;

/**
 * Applies discovery lists in the order of their revisions. Changes are applied only to the revision
 * that they start from. The full list is needed where an update was missed, and where discovery
 * cannot name the changes since the known revision: after too long a break, or after a restart of
 * its own.
 */
public final class DiscoveryCache {
  /** The outcome of an update. */
  public enum UpdateResult {
    APPLIED,
    /** Known already; nothing was done. */
    OLD,
    /**
     * An earlier update was missed: the full list is needed, and the present one is kept until it
     * comes.
     */
    GAP
  }

  /** No list is known: the full one is needed. */
  public static final long NO_REVISION = -1;

  private final BoxTable boxes;
  private long revision = NO_REVISION;

  public DiscoveryCache(BoxTable boxes) {
    this.boxes = boxes;
  }

  /**
   * The last applied revision, from which changes may be requested; NO_REVISION: the full list is
   * needed.
   */
  public long revision() {
    return revision;
  }

  /**
   * Applies a full list. One that is older than the known revision comes from a discovery service
   * that has restarted, and is applied as well.
   */
  public UpdateResult applyFull(long newRevision, List<BoxTable.ListedBox> listings) {
    boxes.apply(true, listings);
    revision = newRevision;
    return UpdateResult.APPLIED;
  }

  /** Applies changes that lead from one revision to another. */
  public UpdateResult applyChanges(long from, long to, List<BoxTable.ListedBox> listings) {
    if (revision == NO_REVISION || from > revision) {
      return UpdateResult.GAP;
    }
    if (to <= revision) {
      return UpdateResult.OLD;
    }
    if (from < revision) {
      // Some of the changes are known and some are not, and their listings cannot be distinguished.
      return UpdateResult.GAP;
    }
    boxes.apply(false, listings);
    revision = to;
    return UpdateResult.APPLIED;
  }

  /** Discovery cannot answer for the known revision: the next list must be full. */
  public void reset() {
    revision = NO_REVISION;
  }
}
