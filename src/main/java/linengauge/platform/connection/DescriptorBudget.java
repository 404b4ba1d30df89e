package linengauge.platform.connection;

/**
 * How the descriptors of a process are shared out: its own files, the listener and the journal
 * service; connections to boxes; viewers. Guards against viewers who come by hundreds and leave
 * none to reach a box by. It could hurt a front of many boxes with few descriptors: several set-ups
 * share a connection then.
 */
public record DescriptorBudget(int viewers, int boxes) {
  private static final int OWN = 48;
  private static final int LEAST = 16;

  public static DescriptorBudget of(int descriptors) {
    int rest = descriptors - OWN;
    int boxes = Math.max(LEAST, rest * 2 / 5);
    return new DescriptorBudget(Math.max(LEAST, rest - boxes), boxes);
  }
}
