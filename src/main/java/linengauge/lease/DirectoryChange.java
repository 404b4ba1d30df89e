package linengauge.lease;

import linengauge.membership.Member;

/** One change that a decision of the log makes to the directory. */
public sealed interface DirectoryChange {
  /** A front begins a life: listed unless this or a later life of it already was. */
  record Registered(Member member, long incarnation) implements DirectoryChange {}

  /**
   * That life of the front has ended; nothing where another life is listed.
   *
   * @param term in which the leader let it expire: nothing once another term has begun; 0 where the
   *     front said itself that it leaves
   */
  record Departed(int number, long incarnation, DirectoryEntry.State why, long term)
      implements DirectoryChange {}

  /** A whole region cannot be reached, or can again; its members stay listed. */
  record RegionReachable(int region, boolean reachable) implements DirectoryChange {}

  /**
   * From here on that control machine grants leases and lets them expire; what an earlier term's
   * leader still wants to expire is void.
   *
   * @param life of the control machine's process: drawn at its start
   * @param term the one that begins, one above the term before; nothing otherwise
   */
  record Leads(int machine, long life, long term) implements DirectoryChange {}
}
