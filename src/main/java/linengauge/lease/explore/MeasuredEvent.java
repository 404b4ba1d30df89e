package linengauge.lease.explore;

import java.util.List;

/** Events under which a fleet is measured, once it has been up for a minute. */
public enum MeasuredEvent {
  /** The whole fleet starts within a second; measured from then on. */
  START(60, scene -> List.of()),
  /** Nothing happens. */
  QUIET(60, scene -> List.of()),
  /** Three fronts end unannounced, one after the other. */
  FRONT_KILLED(60, EventScene::frontsKilled),
  FRONT_RESTARTED(60, EventScene::frontRestarted),
  /** A front is paused for 20 seconds and resumes. */
  FRONT_FROZEN(60, EventScene::frontFrozen),
  FRONT_LOSSY(60, EventScene::frontLossy),
  /** Nothing that a front sends arrives at any control machine of its region. */
  WAY_CUT(60, EventScene::waysCut),
  LEADER_KILLED(60, EventScene::leaderKilled),
  LEADER_FROZEN(60, EventScene::leaderFrozen),
  LEADER_MUTE(60, EventScene::leaderMute),
  /** The leader cannot save its state for 30 seconds, and a front ends meanwhile. */
  LEADER_DISK_FULL(60, EventScene::leadersDiskFull),
  /** A control machine that does not lead is killed. */
  FOLLOWER_KILLED(60, EventScene::followerKilled),
  /** Twenty fronts of one zone lose power. */
  RACK_KILLED(60, EventScene::rackKilled),
  /** A zone's fronts and control machine lose power and are back 40 seconds later. */
  ZONE_LOST(90, EventScene::zoneLost),
  /** The leader's zone loses power. */
  LEADERS_ZONE_LOST(90, EventScene::leadersZoneLost),
  /** A region that has two voters is cut off for three minutes. */
  REGION_CUT(240, EventScene::regionCut),
  /** The leader's region is cut off for three minutes. */
  LEADERS_REGION_CUT(240, EventScene::leadersRegionCut),
  /** A tenth of the fronts restarts at once. */
  TENTH_RESTARTED(60, EventScene::tenthRestarted),
  /** All control machines are down for 30 seconds. */
  CONTROLS_GONE(90, EventScene::controlsGone),
  /** The whole fleet restarts, one tenth every 20 seconds. */
  RELEASE(240, EventScene::release),
  /** The failures and restarts of an ordinary day of 1,800 fronts, at their rate. */
  ORDINARY_DAY(600, scene -> scene.day(600, 1)),
  /** The failures and restarts of an ordinary day at ten times their rate. */
  TENFOLD_DAY(600, scene -> scene.day(600, 10));

  /** The event's faults, given the state of the fleet as the event begins. */
  private interface Faults {
    List<Fault> of(EventScene scene);
  }

  private final int seconds;
  private final Faults faults;

  MeasuredEvent(int seconds, Faults faults) {
    this.seconds = seconds;
    this.faults = faults;
  }

  /** Duration of the measurement in seconds. */
  int seconds() {
    return seconds;
  }

  List<Fault> faults(EventScene scene) {
    return faults.of(scene);
  }
}
