package linengauge.standin;

/**
 * The links of stand-in boxes and the uplinks that racks share. If demand exceeds the capacity of a
 * link or uplink, all viewings on it get the same share of their rates, as the operators describe
 * their boxes. Rates are in kB per second.
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

  void setLinkCapacity(int box, double share) {
    linkCapacity[box] = share;
  }

  /** Sets the share of the link that another program uses. */
  void setBackgroundUsage(int box, double share) {
    backgroundUsage[box] = share;
  }

  void setUplinkCapacity(int rack, double share) {
    uplinkCapacity[rack] = share;
  }

  double linkLoad(int box) {
    return demandKb[box]
        / Math.max(1, linkKb[box] * linkCapacity[box] * (1 - backgroundUsage[box]));
  }

  double uplinkLoad(int box) {
    int rack = rackOf[box];
    return rackDemandKb[rack] / Math.max(1, uplinkKb[rack] * uplinkCapacity[rack]);
  }

  double share(int box) {
    return 1 / Math.max(1, Math.max(linkLoad(box), uplinkLoad(box)));
  }

  int racks() {
    return uplinkKb.length;
  }
}
