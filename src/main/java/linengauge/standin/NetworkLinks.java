package linengauge.standin;

/**
 * The links of stand-in boxes and the uplinks that racks share. If demand exceeds what is usable of
 * a link or uplink, all viewings on it get the same share of their rates, as the operators describe
 * their boxes. Rates are in kB per second; capacity and background usage are parts of 1.
 */
final class NetworkLinks {
  private final double[] linkKb;
  private final double[] demandKb;
  private final double[] linkCapacity;
  private final double[] backgroundUsage;
  private final int[] rackOf;
  private final double[] uplinkKb;
  private final double[] uplinkCapacity;
  private final double[] rackDemandKb;

  NetworkLinks(double[] linkKb, int[] rackOf, double[] uplinkKb) {
    this.linkKb = linkKb;
    this.rackOf = rackOf;
    this.uplinkKb = uplinkKb;
    this.demandKb = new double[linkKb.length];
    this.backgroundUsage = new double[linkKb.length];
    this.linkCapacity = ones(linkKb.length);
    this.uplinkCapacity = ones(uplinkKb.length);
    this.rackDemandKb = new double[uplinkKb.length];
  }

  private static double[] ones(int length) {
    double[] values = new double[length];
    java.util.Arrays.fill(values, 1);
    return values;
  }

  /** Adds the rate of a viewing that starts, or the difference of one that ends or changes. */
  void addDemand(int box, double kbPerSecond) {
    demandKb[box] = Math.max(0, demandKb[box] + kbPerSecond);
    rackDemandKb[rackOf[box]] = Math.max(0, rackDemandKb[rackOf[box]] + kbPerSecond);
  }

  /** Sets the usable part of a box's link; 1 is all of it. */
  void setLinkCapacity(int box, double share) {
    linkCapacity[box] = share;
  }

  /** Sets the part of the link's usable capacity that another program takes from the viewings. */
  void setBackgroundUsage(int box, double share) {
    backgroundUsage[box] = share;
  }

  /** Sets the usable part of a rack's uplink; 1 is all of it. */
  void setUplinkCapacity(int rack, double share) {
    uplinkCapacity[rack] = share;
  }

  /** Returns the demand relative to what is usable of the link; it may exceed 1. */
  double linkLoad(int box) {
    return demandKb[box]
        / Math.max(1, linkKb[box] * linkCapacity[box] * (1 - backgroundUsage[box]));
  }

  double uplinkLoad(int box) {
    int rack = rackOf[box];
    return rackDemandKb[rack] / Math.max(1, uplinkKb[rack] * uplinkCapacity[rack]);
  }

  /**
   * Returns the share of their rates that viewings on a box get: 1, or less if the link or the
   * uplink is overloaded, by the worse of the two.
   */
  double share(int box) {
    return 1 / Math.max(1, Math.max(linkLoad(box), uplinkLoad(box)));
  }

  int racks() {
    return uplinkKb.length;
  }
}
