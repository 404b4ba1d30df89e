package linengauge.platform.connection;

/**
 * Bounds the heap that all connections of one kind occupy together, in estimated bytes of objects:
 * a message of 50 bytes on the wire may occupy ten times as much while it waits.
 *
 * <p>While the total is within the limit, one connection may take all of it. Beyond that, a
 * connection may still take its equal share, so that few that take much leave room for all others;
 * the total stays under twice the limit.
 */
public final class HeapBudget {
  private final long limit;
  private long used;
  private int accounts;

  /** Creates a budget of that many bytes. */
  public HeapBudget(long limit) {
    this.limit = limit;
  }

  /** Opens the account of one connection, to be closed with it. */
  public Account openAccount() {
    accounts++;
    return new Account();
  }

  /** The bytes in use on all accounts. */
  public long used() {
    return used;
  }

  /** What one connection occupies. */
  public final class Account {
    private long ownUsed;
    private boolean closed;

    private Account() {}

    /** Returns whether the connection may occupy that many bytes more. */
    public boolean hasRoomFor(long bytes) {
      return used + bytes <= limit || ownUsed + bytes <= limit / Math.max(1, accounts);
    }

    /** Returns whether the limit is exceeded and the connection occupies more than its share. */
    public boolean isOverShare() {
      return !hasRoomFor(0);
    }

    /** Adds bytes, or subtracts them if negative, whether or not there is room. */
    public void add(long bytes) {
      if (!closed) {
        ownUsed += bytes;
        used += bytes;
      }
    }

    /** The connection has closed; later changes have no effect. */
    public void close() {
      if (!closed) {
        add(-ownUsed);
        closed = true;
        accounts--;
      }
    }
  }
}
