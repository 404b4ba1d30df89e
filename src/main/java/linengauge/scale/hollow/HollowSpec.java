package linengauge.scale.hollow;

import java.util.Map;
import linengauge.lease.LeaseSettings;
import linengauge.membership.MembershipSettings;

/**
 * What one process of a run is told in a file, as JSON.
 *
 * @param index of the process among those of its fleet, or the control machine's number
 * @param method of the fleet; of no meaning to a control machine
 * @param logWays where this process reaches the voters of the log
 * @param store of a voting control machine; else null
 */
record HollowSpec(
    int index,
    HollowPlan.Method method,
    HollowPlan.Fleet fleet,
    int followersEach,
    LeaseSettings lease,
    MembershipSettings gossip,
    int firstPort,
    Map<Integer, String> logWays,
    Files files) {
  /** What it reads and keeps. */
  record Files(String key, String store) {}

  HollowPorts ports() {
    return new HollowPorts(fleet, firstPort);
  }
}
