package linengauge;

/**
 * A point in time on the front's clock, in microseconds. Moments and spans are combined only by the
 * methods here and in {@link Span}.
 */
public record Moment(long micros) implements Comparable<Moment> {
  public static final Moment DISTANT_PAST = new Moment(Long.MIN_VALUE / 4);

  public Moment plus(Span span) {
    return new Moment(micros + span.micros());
  }

  public Moment minus(Span span) {
    return new Moment(micros - span.micros());
  }

  /** The span from an earlier moment to this one; negative if that moment is later. */
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
