package linengauge.lease;

/**
 * Sums by which two copies of the directory are compared: each entry adds its own number, so that
 * order does not matter and one change costs one addition. The same at every process and on every
 * machine.
 */
final class DirectoryDigest {
  private DirectoryDigest() {}

  static long of(DirectoryEntry entry) {
    long sum = mixed(entry.member().number());
    sum = mixed(sum ^ entry.incarnation());
    sum = mixed(sum ^ entry.version());
    sum = mixed(sum ^ entry.member().zone());
    sum = mixed(sum ^ entry.member().region());
    return mixed(sum ^ entry.member().address().hashCode());
  }

  static long ofRegions(long unreachable) {
    return mixed(~unreachable);
  }

  /** The finisher of SplittableRandom's numbers: every bit of the value moves every bit. */
  private static long mixed(long value) {
    long z = value + 0x9e3779b97f4a7c15L;
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
