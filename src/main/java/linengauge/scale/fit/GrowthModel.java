package linengauge.scale.fit;

/** A function by which a cost may grow with size, ordered from simplest to steepest. */
public enum GrowthModel {
  CONSTANT("constant"),
  LOGARITHMIC("logarithmic") {
    @Override
    double[] regressors(double size) {
      return new double[] {Math.log(size)};
    }
  },
  LINEAR("straight line") {
    @Override
    double[] regressors(double size) {
      return new double[] {size};
    }
  },
  QUADRATIC("quadratic") {
    @Override
    double[] regressors(double size) {
      return new double[] {size, size * size};
    }
  };

  private final String label;

  GrowthModel(String label) {
    this.label = label;
  }

  /** The name of the model in tables. */
  public String label() {
    return label;
  }

  /** The regressors at a size: the factors of the coefficients after the intercept. */
  double[] regressors(double size) {
    return new double[0];
  }

  /** The number of coefficients, including the intercept. */
  public int coefficients() {
    return 1 + regressors(1).length;
  }
}
