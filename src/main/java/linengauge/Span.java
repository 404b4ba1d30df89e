package linengauge;

/** A length of time, in microseconds. */
public record Span(long micros) implements Comparable<Span> {
  public static final Span NONE = new Span(0);

  public static Span ofMillis(long millis) {
    return new Span(millis * 1000);
  }

  public static Span ofSeconds(double seconds) {
    return new Span(Math.round(seconds * 1e6));
  }

  public double seconds() {
    return micros / 1e6;
  }

  public Span plus(Span other) {
    return new Span(micros + other.micros);
  }

  public Span minus(Span other) {
    return new Span(micros - other.micros);
  }

  public Span times(double factor) {
    return new Span(Math.round(micros * factor));
  }

  public boolean isShorterThan(Span other) {
    return micros < other.micros;
  }

  public Span min(Span other) {
    return isShorterThan(other) ? this : other;
  }

  public Span max(Span other) {
    return isShorterThan(other) ? other : this;
  }

  @Override
  public int compareTo(Span other) {
    return Long.compare(micros, other.micros);
  }
}
