package linengauge.scale.hollow;

/**
 * The plan does not fit this machine, or makes no sense; the message says where and by how much.
 */
public final class HollowPlanRefused extends Exception {
  private static final long serialVersionUID = 1;

  public HollowPlanRefused(String why) {
    super(why);
  }
}
