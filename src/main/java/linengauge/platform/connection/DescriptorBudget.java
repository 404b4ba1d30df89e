package linengauge.platform.connection;

/**
 * Divides the file descriptors of a process between its own files, listener and journal connection,
 * the connections to servers, and the connections of clients. Without a share of their own,
 * hundreds of clients would leave no descriptor to reach a server. A front with many servers and
 * few descriptors lets several set-ups share a connection.
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
