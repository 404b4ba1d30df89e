package linengauge.lease;

import linengauge.membership.Member;

/** One change that a decision of the log makes to the directory. */
public sealed interface DirectoryChange {
  /** A front begins a life: listed unless this or a later life of it already was. */
  record Registered(Member member, long incarnation) implements DirectoryChange {}

  /** That life of the front has ended; nothing where another life is listed. */
  record Departed(int number, long incarnation, DirectoryEntry.State why)
      implements DirectoryChange {}

  /** A whole region cannot be reached, or can again; its members stay listed. */
  record RegionReachable(int region, boolean reachable) implements DirectoryChange {}
}
