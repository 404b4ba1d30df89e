package linengauge.platform.connection;

/**
 * How the descriptors of a process are shared out: its own files, the listener and the journal
 * service; connections to boxes; viewers. Guards against viewers who come by hundreds and leave
 * none to reach a box by. It could hurt a front of many boxes with few descriptors: several set-ups
 * share a connection then.
 */
public record DescriptorBudget(int clients, int servers) {
  private static final int RESERVED_DESCRIPTORS = 48;
  private static final int MIN_DESCRIPTORS = 16;

  public static DescriptorBudget of(int descriptors) {
    int available = descriptors - RESERVED_DESCRIPTORS;
    int servers = Math.max(MIN_DESCRIPTORS, available * 2 / 5);
    return new DescriptorBudget(Math.max(MIN_DESCRIPTORS, available - servers), servers);
  }
}
