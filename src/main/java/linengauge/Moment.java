package linengauge;

/**
 * A point in time on the front's clock. Moments and spans meet only through the methods here and in
 * Span.
 */
public record Moment(long micros) implements Comparable<Moment> {
  public static final Moment DISTANT_PAST = new Moment(Long.MIN_VALUE / 4);

  public Moment plus(Span span) {
    return new Moment(micros + span.micros());
  }

  public Moment minus(Span span) {
    return new Moment(micros - span.micros());
  }

  /** The span from an earlier moment to this one; negative if it lies later. */
  public Span since(Moment earlier) {
    return new Span(micros - earlier.micros);
  }

  public boolean isBefore(Moment other) {
    return micros < other.micros;
  }

  public Moment max(Moment other) {
    return isBefore(other) ? other : this;
  }

  @Override
  public int compareTo(Moment other) {
    return Long.compare(micros, other.micros);
  }
}
