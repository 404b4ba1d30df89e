package linengauge.scale.fit;

/**
 * One measured point of a curve.
 *
 * @param size what the cost is measured against: fronts, connections or a rate
 * @param value the cost at that size
 */
public record SizedValue(double size, double value) {}
